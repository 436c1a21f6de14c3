import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

// After an outage or in a burst, late jobs must not displace jobs that can be on
// time, and callers must not wait for answers that would be too late.
test('a waiting job that would be answered too late is refused early', async () => {
  const bench = new PoolBench(1, 1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 5_000;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('long', {estimatedMs: 5_000}));
  await bench.run(5, dispatcher);
  const submittedAt = bench.clock.now();
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 100}));
  await bench.run(1_000, dispatcher);
  const answer = bench.answers.get('j');
  assert.equal(answer?.kind, 'refused');
  // 3 x (1.6 x 100 ms + 60 ms) less the run time of 100 ms, rounded up.
  assert.isAtMost(bench.answeredAt.get('j')! - submittedAt, 600);
  await bench.run(6_000, dispatcher);
  const ran = worker!.history.map(h => h.task);
  assert.notInclude(ran, 'j.0.0.0');
});

test('a started job is completed even if it is late', async () => {
  const bench = new PoolBench(1, 1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 400;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit(
    'e',
    PoolBench.submission('j', {tasks: 4, estimatedMs: 100}),
  );
  await bench.run(2_500, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});
