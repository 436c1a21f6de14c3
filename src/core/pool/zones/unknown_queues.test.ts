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

// A leader that no majority confirms states its claim until it steps down, and a newer
// configuration may be in force elsewhere. The fake election never makes it step down;
// a leader whose ticks are late by more than CATCH_UP_MS does not either.
test('a holder that hears only an unconfirmed leader denies no queue', async () => {
  const bench = new DeploymentBench();
  await bench.run(6_000);
  assert.equal(bench.leader, 'xc1');
  const cut = ['xc1', ...bench.inZone('y').filter(id => id !== 'yc2')];
  const rest = ['xc2', 'yc2', ...bench.inZone('z')];
  bench.isolate(cut, rest);
  await bench.run(3_000);
  assert.notEqual(bench.leader, 'xc1');
  bench.submit('ye1', 'unknown', {queue: 'new'});
  await bench.run(100);
  assert.equal(bench.log.answerOf('unknown'), 'refused');
});
