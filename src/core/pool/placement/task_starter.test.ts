import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

// In a burst, tasks beyond the first must not wait for the next pass.
test('all free capacity is used in one pass', async () => {
  const bench = new PoolBench(3);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 6}));
  await bench.run(5);
  const starts = bench.client.calls.filter(c => c.call === 'start');
  assert.lengthOf(starts, 6);
});

test('a small job is started before a large job that waits', async () => {
  const bench = new PoolBench(1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('first', {tasks: 2}));
  await bench.run(5, dispatcher);
  dispatcher.submit('e', PoolBench.submission('large', {tasks: 8}));
  dispatcher.submit('e', PoolBench.submission('small', {tasks: 1}));
  await bench.run(1_500, dispatcher);
  const small = bench.answeredAt.get('small')!;
  assert.isBelow(small, bench.answeredAt.get('large')!);
});

// A job that has lost some time in a burst must not lose the work that it has
// had done, while fresh small jobs go first until it is useless.
test('a started job that is late is finished before fresh jobs', async () => {
  const bench = new PoolBench(1, 1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  for (const worker of bench.workers.values()) worker.runMs = () => 120;
  const submittedAt = bench.clock.now();
  dispatcher.submit('e', PoolBench.submission('wide', {tasks: 3}));
  await bench.run(200, dispatcher);
  for (let n = 0; n < 4; n += 1) {
    const opts = {queue: 'b', estimatedMs: 150};
    dispatcher.submit('e', PoolBench.submission(`fresh${n}`, opts));
  }
  await bench.run(1_000, dispatcher);
  assert.isBelow(bench.answeredAt.get('wide')! - submittedAt, 450);
});
