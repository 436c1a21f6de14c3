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

/** Kinds of the answers after a first job whose tasks are not as estimated. */
async function answersAfter(first: {estimatedMs: number; runMs: number}) {
  const bench = new PoolBench(2, 2);
  const [...workers] = bench.workers.values();
  for (const worker of workers) worker.runMs = () => first.runMs;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  const {estimatedMs} = first;
  dispatcher.submit('e', PoolBench.submission('first', {estimatedMs}));
  await bench.run(2 * first.runMs, dispatcher);
  for (const worker of workers) worker.runMs = () => 130;
  const ids = Array.from({length: 40}, (_, n) => `j${n}`);
  for (const id of ids) {
    dispatcher.submit('e', PoolBench.submission(id, {estimatedMs: 130}));
    await bench.run(100, dispatcher);
  }
  await bench.run(400, dispatcher);
  return [...new Set(['first', ...ids].map(id => bench.answers.get(id)?.kind))];
}

// Its missing estimate was taken as 1 ms, so all jobs with an estimate were expected
// to take 130 times as long, and were refused by a new dispatcher.
test('a job without an estimate does not make other jobs infeasible', async () => {
  assert.deepEqual(await answersAfter({estimatedMs: 0, runMs: 130}), [
    'completed',
  ]);
});

// Guards against a mean that a first run lifts so far that all jobs are refused
// on an idle fleet; as refused jobs do not run, it never fell again.
test('a job that ran far longer than estimated does not block its queue', async () => {
  assert.deepEqual(await answersAfter({estimatedMs: 5, runMs: 900}), [
    'completed',
  ]);
});
