import {assert} from 'chai';
import {PoolBench} from '../../../test-support/fakes/pool/pool_bench.js';

const DEADLY = 'j.0.0.0';

function crashBench(workers: number): PoolBench {
  const bench = new PoolBench(workers);
  bench.isDeadly = task => task === DEADLY;
  return bench;
}

// Guards against a task that crashes one worker after the other until the
// deadline of its job.
test('a task that crashes its workers is given up after the second crash', async () => {
  const bench = crashBench(8);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 3}));
  await bench.run(9_000, dispatcher);
  assert.lengthOf(bench.crashes, 2);
  assert.equal(bench.answers.get('j')?.kind, 'failed');
});
