import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const JOB = {estimatedMs: 5_000, patienceMs: 9_000};
/** Time after which callers send a job again whose answer they did not receive. */
const RESEND_MS = 1_300;
/** Time by which the time of day is set back while the process is down. */
const STEP_MS = 300;

// Guards against a contact that rests on a claim of an earlier process of the node:
// if the time of day was set back in between, the claim looks newer than it is.
test('a claim of an earlier process proves no contact', async () => {
  for (const lateMs of [760, 900]) {
    const bench = new DeploymentBench({coresPerZone: 1});
    bench.runMs = JOB.estimatedMs;
    await bench.run(2_500);
    assert.deepEqual(bench.holders()['y'], ['yc1']);
    const {delayMs} = bench.network;
    bench.network.delayMs = (from, to) =>
      delayMs(from, to) + (from === 'ye1' && to === 'yc1' ? lateMs : 0);
    bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
    bench.submit('ye1', 'j', JOB);
    await bench.run(10);
    bench.disconnectCaller('j');
    bench.kill('yc1');
    bench.startCore('yc1');
    // The clock of the new process goes on where that of the earlier one ended.
    bench.suspend('yc1', false);
    await bench.run(STEP_MS);
    bench.resume('yc1');
    await bench.run(RESEND_MS - STEP_MS);
    assert.deepEqual(bench.holders()['y'], ['yc1']);
    assert.equal(bench.log.count('submission_misdirected'), 1);
    bench.submit('xe1', 'j', JOB);
    await bench.run(6_000);
    assert.isEmpty(bench.log.overlaps(), `${lateMs} ms`);
    assert.equal(bench.log.answerOf('j'), 'completed', `${lateMs} ms`);
  }
});
