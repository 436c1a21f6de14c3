import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const JOB = {estimatedMs: 2_500, patienceMs: 10_000};
/** Time in which a worker that reports can be used. */
const JOIN_MS = 20;
/** Phases of the reports that workers send every 1,500 ms. */
const PHASES_MS = [600, 900, 1_200];

// Guards against two runs at once after a short cut: a worker joined the holder of the
// zone, which the leader did not hear of, and so neither did the next holder.
for (const phaseMs of PHASES_MS) {
  test(`a holder settles no job by a list without a worker, ${phaseMs} ms`, async () => {
    const bench = await createBench(phaseMs);
    assert.equal(bench.leader, 'xc1');
    assert.deepEqual(bench.holders()['y'], ['yc1']);
    bench.isolate(bench.inZone('y'), bench.outsideOf('y'));
    await bench.run(600);
    bench.heal();
    bench.isolate(bench.inZone('y'), bench.outsideOf('y'));
    await join(bench, 'yw50', 'yc1');
    bench.submit('ye1', 'j', {...JOB, tasks: 55});
    await bench.run(20);
    bench.heal();
    await bench.run(700);
    bench.announceDrain('yc1');
    await assertRunsAlone(bench);
  });
}

// Guards against two runs at once after the leader has taken the first report of a
// worker: it stops, or loses the other core nodes and a drop, before they have it.
for (const [event, change] of [
  ['stops', (bench: DeploymentBench) => bench.announceDrain('xc1')],
  ['is cut off', cutOffLeader],
] as const) {
  test(`no task runs again when a leader ${event} that has a new worker`, async () => {
    const bench = await createBench(0, {workersPerZone: 4, late: 'yw4'});
    assert.equal(bench.leader, 'xc1');
    const isCore = (id: string) => bench.seeds.includes(id);
    bench.network.isLost = (from, to) => from === 'xc1' && isCore(to);
    bench.heal();
    await join(bench, 'yw4', 'xc1');
    bench.submit('ye1', 'j', {...JOB, tasks: 14});
    await bench.run(20);
    bench.network.isLost = (_from, _to, kind) => kind === 'pool.drop';
    change(bench);
    await assertRunsAlone(bench);
  });
}

// A core node that confirms new workers must not hold them up where nothing fails.
test('a worker that joins is used at once, also while core nodes stop', async () => {
  const bench = await createBench(0);
  bench.announceDrain('yc2');
  await bench.run(100);
  bench.kill('yc2');
  bench.heal();
  await join(bench, 'yw50', 'yc1');
  bench.submit('ye1', 'j', {...JOB, tasks: 55});
  await bench.run(20);
  assert.isNotEmpty(bench.workers.get('yw50')!.running);
});

// A planned stop of a holder has its jobs wait for no lease, also after a worker joined.
test('the jobs of a holder that stops do not wait, with a new worker', async () => {
  const bench = await createBench(0);
  bench.heal();
  await join(bench, 'yw50', 'yc1');
  bench.submit('ye1', 'j', {...JOB, tasks: 55});
  await bench.run(20);
  bench.announceDrain('yc1');
  await bench.run(200);
  assert.equal(bench.log.count('job_settled', 8_000), 1);
  await assertRunsAlone(bench);
});

/** A deployment in which one worker has not reported to any core node. */
async function createBench(
  phaseMs: number,
  {late = 'yw50', ...opts}: {late?: string; workersPerZone?: number} = {},
) {
  const bench = new DeploymentBench(opts);
  bench.runMs = JOB.estimatedMs;
  bench.isolate([late], bench.seeds);
  await bench.run(8_000 + phaseMs);
  return bench;
}

async function join(bench: DeploymentBench, id: string, core: string) {
  void bench.report(bench.workers.get(id)!, core);
  await bench.run(JOIN_MS);
}

function cutOffLeader(bench: DeploymentBench): void {
  bench.isolate(
    ['xc1'],
    bench.seeds.filter(id => id !== 'xc1'),
  );
}

async function assertRunsAlone(bench: DeploymentBench): Promise<void> {
  await bench.run(8_000);
  assert.isEmpty(bench.log.overlaps());
  assert.equal(bench.log.answerOf('j'), 'completed');
}
