import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const JOB = {estimatedMs: 6_000, patienceMs: 8_000};
/** Time after which callers send a job again whose answer they did not receive. */
const RESEND_MS = 1_300;
const SUSPENDED_MS = 300;

// Guards against leases that outlast the contact with a caller by the time in which
// the machine of the dispatcher was suspended: its steady clock stands still, so the
// contact looks newer than it is.
test('a copy does not start beside a run of a suspended machine', async () => {
  // Once a run has been at work for long, only replies to polls show the clocks.
  for (const workedMs of [300, 3_100]) {
    const bench = await createBench();
    bench.submit('ye1', 'j', JOB);
    await bench.run(workedMs);
    const [holder] = bench.holders()['y']!;
    bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
    bench.disconnectCaller('j');
    // The holder is not silent for long enough to be replaced.
    for (let n = 0; n < 2; n += 1) {
      bench.suspend(holder!, false);
      await bench.run(SUSPENDED_MS);
      bench.resume(holder!);
      await bench.run(RESEND_MS / 2 - SUSPENDED_MS);
    }
    assert.deepEqual(bench.holders()['y'], [holder]);
    bench.submit('ze1', 'j', JOB);
    await bench.run(JOB.estimatedMs + 500);
    assert.isEmpty(bench.log.overlaps(), `${workedMs} ms`);
    assert.equal(bench.log.answerOf('j'), 'completed', `${workedMs} ms`);
  }
});

async function createBench(): Promise<DeploymentBench> {
  const bench = new DeploymentBench();
  for (const worker of bench.workers.values()) {
    worker.runMs = task => (task.startsWith('j.') ? JOB.estimatedMs : 50);
  }
  await bench.run(6_000);
  return bench;
}
