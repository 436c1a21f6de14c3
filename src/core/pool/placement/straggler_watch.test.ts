import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

async function warmUp(
  bench: PoolBench,
  dispatcher: ReturnType<PoolBench['createDispatcher']>,
) {
  await bench.run(50, dispatcher);
  for (let n = 0; n < 40; n += 1) {
    dispatcher.submit('e', PoolBench.submission(`warm${n}`));
    await bench.run(60, dispatcher);
  }
  await bench.run(300, dispatcher);
}

// Tasks can hang on workers that report good health.
test('a hanging task is moved to another worker', async () => {
  const bench = new PoolBench(2);
  const dispatcher = bench.createDispatcher();
  await warmUp(bench, dispatcher);
  let isFirst = true;
  for (const worker of bench.workers.values()) {
    worker.runMs = () => {
      const ms = isFirst ? 60_000 : 100;
      isFirst = false;
      return ms;
    };
  }
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(1_500, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

// Estimated run times are often far off.
test('a task that takes long on every worker still completes', async () => {
  const bench = new PoolBench(2);
  const dispatcher = bench.createDispatcher();
  await warmUp(bench, dispatcher);
  for (const worker of bench.workers.values()) worker.runMs = () => 1_500;
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(5_000, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});
