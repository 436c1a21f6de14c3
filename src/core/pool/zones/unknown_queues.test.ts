import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

// A holder that is cut off from the leader has the configuration from before.
test('a holder without contact to the leader denies no queue', async () => {
  const bench = new DeploymentBench();
  await bench.run(6_000);
  bench.submit('ye1', 'known', {queue: 'new'});
  await bench.run(100);
  assert.equal(bench.log.answerOf('known'), 'no_queue');
  for (const id of ['xc1', 'xc2', 'yc2', 'zc1', 'zc2']) bench.kill(id);
  await bench.run(2_000);
  bench.submit('ye1', 'unknown', {queue: 'new'});
  await bench.run(100);
  assert.equal(bench.log.answerOf('unknown'), 'refused');
});
