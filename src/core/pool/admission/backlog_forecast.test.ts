import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

async function createDispatcher(bench: PoolBench) {
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  return dispatcher;
}

test('under overload, jobs that cannot be answered in time are refused early', async () => {
  const bench = new PoolBench(2, 2);
  const dispatcher = await createDispatcher(bench);
  const startedAt = bench.clock.now();
  // The workers run 40 tasks per second. Work for three seconds arrives at
  // once, and an answer is useful for 660 ms.
  for (let n = 0; n < 120; n += 1) {
    dispatcher.submit('e', PoolBench.submission(`j${n}`));
  }
  await bench.run(100, dispatcher);
  const refused = [...bench.answers.values()].filter(a => a.kind === 'refused');
  assert.isAbove(refused.length, 80);
  await bench.run(3_000, dispatcher);
  const completed = [...bench.answers]
    .filter(([, a]) => a.kind === 'completed')
    .map(([id]) => bench.answeredAt.get(id)! - startedAt);
  assert.isAbove(completed.length, 15);
  assert.isAtMost(Math.max(...completed), 700);
  // Refusals must be fast.
  for (const [id, {kind}] of bench.answers) {
    if (kind !== 'refused') continue;
    assert.isAtMost(bench.answeredAt.get(id)! - startedAt, 300);
  }
});

test('jobs of a backlog that can be answered in time are not refused', async () => {
  const bench = new PoolBench(4, 2);
  const dispatcher = await createDispatcher(bench);
  // The workers run 80 tasks per second, so 40 tasks take half a second.
  for (let n = 0; n < 40; n += 1) {
    dispatcher.submit('e', PoolBench.submission(`j${n}`));
  }
  await bench.run(1_500, dispatcher);
  const kinds = new Set([...bench.answers.values()].map(a => a.kind));
  assert.deepEqual([...kinds], ['completed']);
});

test('many small jobs do not cause the refusal of a large job that has time', async () => {
  const bench = new PoolBench(2, 2);
  for (const worker of bench.workers.values()) {
    worker.runMs = task => (task.startsWith('large') ? 900 : 50);
  }
  const dispatcher = await createDispatcher(bench);
  dispatcher.submit('e', PoolBench.submission('large', {estimatedMs: 900}));
  for (let n = 0; n < 60; n += 1) {
    const opts = {estimatedMs: 50, queue: 'b'};
    dispatcher.submit('e', PoolBench.submission(`small${n}`, opts));
  }
  await bench.run(6_000, dispatcher);
  assert.equal(bench.answers.get('large')?.kind, 'completed');
});

test('active runs count as work ahead of a waiting job', async () => {
  const bench = new PoolBench(1, 1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 5_000;
  const dispatcher = await createDispatcher(bench);
  dispatcher.submit('e', PoolBench.submission('long', {estimatedMs: 5_000}));
  await bench.run(10, dispatcher);
  const submittedAt = bench.clock.now();
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(200, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'refused');
  assert.isAtMost(bench.answeredAt.get('j')! - submittedAt, 100);
});
