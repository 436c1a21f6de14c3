import {assert} from 'chai';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {FaultDriver} from './fault_driver.js';
import {ProcessBench} from './process_bench.js';

const SEED = 1;
const ANSWERS_TIMEOUT_MS = 15_000;

/** Injects a fault under load, stops the load and checks the histories. */
async function checkFault(
  fault: (driver: FaultDriver, bench: ProcessBench) => Promise<void>,
): Promise<void> {
  const bench = await ProcessBench.start(SEED);
  try {
    const driver = new FaultDriver(bench, new SeededRandom(SEED));
    await fault(driver, bench);
    await bench.waitUntilStable();
    const {violations} = await bench.finish(ANSWERS_TIMEOUT_MS);
    assert.deepEqual([...driver.violations, ...violations], []);
  } finally {
    await bench.stop();
  }
}

// Guards against starts by a dispatcher that resumes after a takeover.
test('a dispatcher that was suspended neither repeats nor loses tasks', () =>
  checkFault(async driver => {
    await driver.stopDispatcher('arbat', 0);
    assert.lengthOf(driver.takeovers, 1);
  }));

// Guards against jobs that wait forever on a connection that drops messages.
test('silent links of the dispatcher neither lose nor repeat tasks', () =>
  checkFault(async (driver, bench) => {
    const {id} = await bench.findDispatcher('medeu');
    const other = id === 'm1' ? 'm2' : 'm1';
    await Promise.all([
      driver.silenceLink(id, other, 'both'),
      driver.silenceLink('a2', id, 'to_target'),
    ]);
  }));
