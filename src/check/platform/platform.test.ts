import {assert} from 'chai';
import {SoakRun} from './soak_run.js';
import {SoakShape} from './soak_shape.js';

/** Includes the start of all processes on a loaded machine. */
const TIMEOUT_MS = 180_000;

// Guards against tasks that run twice at a time, and refused jobs that run, while
// processes, workers and links fail.
test('real core and entry processes keep the rules under faults', async () => {
  const run = new SoakRun({seed: 1, rounds: 3, shape: SoakShape['small']!});
  await run.run();
  const logs = `logs: ${run.deployment.dir}`;
  assert.deepEqual(run.history.violations, [], logs);
  assert.isAbove(run.history.starts, 0);
}).timeout(TIMEOUT_MS);
