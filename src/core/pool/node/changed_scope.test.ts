import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const JOB = {estimatedMs: 2_500, patienceMs: 10_000};
/** Delay of the leader's claims, below the time after which a node counts as lost. */
const LATE_CLAIM_MS = 580;
/** Time after which a new process is granted a zone. */
const GRANTED_AFTER_MS = 3_040;
/** Tasks of a job that has one on each worker of a dispatcher. */
const ALL_WORKERS = 60;

// Guards against two runs at once after a zone was taken from its holder and granted to
// it again: the entry node reads the leader's older claim, which covers the zone, and
// hands the job to the leader. Its present dispatcher knows other workers only.
test('a job of another zone is not settled by the workers of the leader', async () => {
  const zones = ['w', 'x', 'y'];
  const bench = new DeploymentBench({zones, coresPerZone: 1});
  bench.runMs = JOB.estimatedMs;
  await bench.run(8_000);
  assert.equal(bench.leader, 'wc1');
  assert.deepEqual(bench.holders()['x'], ['xc1']);
  bench.submit('xe1', 'j', JOB);
  await bench.run(200);
  const {delayMs} = bench.network;
  bench.network.delayMs = (from, to) => {
    const isLate = from === 'wc1' && to.startsWith('x');
    return delayMs(from, to) + (isLate ? LATE_CLAIM_MS : 0);
  };
  bench.cutFrom('xc1', 'wc1');
  const since = bench.now;
  while (bench.log.count('zone_returned', since) === 0) await bench.run(10);
  bench.heal();
  while (bench.log.count('job_reassigned') === 0) await bench.run(10);
  bench.network.delayMs = delayMs;
  await bench.run(8_000);
  assert.isEmpty(bench.log.overlaps());
  assert.equal(bench.log.answerOf('j'), 'completed');
});

// Guards against two runs at once after the leader's claim has named its only zone: a
// worker of another zone joined its dispatcher afterwards and ran a task. The next
// holder of the zone took the claim as proof that its own workers knew all runs.
test('a leader that names its only zone starts nothing in another one', async () => {
  const bench = new DeploymentBench({zones: ['w', 'x', 'y']});
  for (const id of [...bench.workers.keys()]) {
    if (/^yw[^1]|yw1./.test(id)) bench.workers.delete(id);
  }
  const late = bench.workers.get('yw1')!;
  bench.runMs = JOB.estimatedMs;
  bench.isolate(['yw1'], bench.seeds);
  bench.kill('wc2');
  await bench.run(8_000);
  assert.equal(bench.leader, 'wc1');
  bench.startCore('wc2');
  await bench.run(GRANTED_AFTER_MS - 150);
  const {delayMs} = bench.network;
  bench.network.delayMs = (from, to) => {
    const isLate = from === 'wc1' && to === 'we1';
    return delayMs(from, to) + (isLate ? LATE_CLAIM_MS : 0);
  };
  bench.heal();
  void bench.report(late);
  await bench.run(10);
  bench.submit('we1', 'j', {...JOB, tasks: ALL_WORKERS});
  while (bench.log.count('zone_opened', 8_000) === 0) await bench.run(10);
  assert.deepEqual(bench.holders()['w'], ['wc2']);
  await bench.run(8_000);
  assert.isEmpty(bench.log.overlaps());
  assert.equal(bench.log.answerOf('j'), 'completed');
});
