import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';

const RETENTION_MS = 600_000;
const REPEATABLE = DispatchBench.classOf('default', {repeatable: true});

test('a cancellation and a resubmission in one turn start no task', () => {
  const bench = new DispatchBench();
  const key = bench.submit([100]);
  bench.dispatcher.cancel(key, bench.clock.now());
  bench.dispatcher.submit(key, bench.spec(key, [100]), bench.clock.now());
  bench.clock.advance(1_000);
  assert.equal(bench.answer(key)?.status, 'cancelled');
  assert.lengthOf(bench.starts(), 0);
});

test('the answer of a cancelled job does not change later', () => {
  const bench = new DispatchBench();
  const key = bench.submit([300]);
  bench.clock.advance(50);
  bench.dispatcher.cancel(key, bench.clock.now());
  bench.clock.advance(0.1);
  const first = bench.answer(key);
  assert.propertyVal(first, 'outcome', 'outcome_unknown');
  bench.clock.advance(1_000);
  assert.deepEqual(bench.answer(key), first);
});

test('a task that all workers refuse is retried about once a second', () => {
  const bench = new DispatchBench();
  bench.worker('w1').isRefusing = true;
  const before = bench.fleet.sent.start;
  const key = bench.submit([10]);
  bench.clock.advance(20_000);
  assert.isAtMost(bench.fleet.sent.start - before, 30);
  bench.worker('w1').isRefusing = false;
  bench.clock.advance(1_500);
  assert.equal(bench.answer(key)?.status, 'complete');
});

test('a cancellation drops tasks in backoff', () => {
  const bench = new DispatchBench();
  bench.worker('w1').isRefusing = true;
  const key = bench.submit([10]);
  bench.clock.advance(5_000);
  bench.dispatcher.cancel(key, bench.clock.now());
  bench.worker('w1').isRefusing = false;
  bench.clock.advance(5_000);
  assert.propertyVal(bench.answer(key), 'outcome', 'not_run');
  assert.isFalse(bench.dispatcher.isActive(key.text));
  assert.lengthOf(bench.starts(), 0);
});

test('a task that fits no remaining worker fails with the reason', () => {
  const bench = new DispatchBench({workers: 2, slots: 1});
  const small = bench.worker('w2');
  small.announcement = {...small.announcement, memory_mb: 10};
  bench.clock.advance(600);
  const large = {payload: {ms: 60_000}, memory_mb: 1_000};
  bench.submit([], {tasks: [large]});
  const key = bench.submit([], {tasks: [large]});
  bench.clock.advance(100);
  bench.worker('w1').kill();
  bench.clock.advance(30_000);
  const answer = bench.answer(key);
  assert.equal(answer?.status, 'failed');
  assert.propertyVal(answer, 'outcome', 'not_run');
  assert.match(JSON.stringify(answer), /no worker could hold task 0/);
});

test('a job fails at the end of its retention and keeps its answer', () => {
  const bench = new DispatchBench();
  bench.worker('w1').kill();
  bench.clock.advance(5_000);
  const key = bench.submit([10]);
  bench.clock.advance(RETENTION_MS + 10_000);
  const answer = bench.answer(key);
  assert.equal(answer?.status, 'failed');
  assert.propertyVal(answer, 'outcome', 'not_run');
  assert.lengthOf(bench.finished, 1);
  bench.clock.advance(70_000);
  assert.isUndefined(bench.answer(key));
});

test('a task that runs beyond the retention period is stopped', () => {
  const bench = new DispatchBench();
  const key = bench.submit([2 * RETENTION_MS]);
  bench.clock.advance(RETENTION_MS + 10_000);
  assert.propertyVal(bench.answer(key), 'outcome', 'outcome_unknown');
  assert.equal(bench.worker('w1').running, 0);
});

test('a task that its worker stops by itself is retried', () => {
  const bench = new DispatchBench({workers: 2, classes: [REPEATABLE]});
  const key = bench.submit([1_000]);
  bench.clock.advance(100);
  for (const id of ['w1', 'w2']) bench.worker(id).stopAll();
  bench.clock.advance(5_000);
  assert.equal(bench.answer(key)?.status, 'complete');
  assert.lengthOf(bench.starts(), 2);
});

test('a job whose class was deleted completes without retries', () => {
  const bench = new DispatchBench({workers: 2, classes: [REPEATABLE]});
  const key = bench.submit([500]);
  bench.clock.advance(100);
  bench.config.set({version: 2, classes: {}, tenants: {}});
  const {replicator} = bench;
  replicator.lead(bench.clock.now());
  bench.clock.advance(2_500);
  assert.equal(bench.answer(key)?.status, 'complete');
  assert.lengthOf(bench.starts(), 1);
});

test('a task that needs more memory than is free waits for it', () => {
  const bench = new DispatchBench();
  const half = {payload: {ms: 300}, memory_mb: 100_000};
  const first = bench.submit([], {tasks: [half]});
  bench.clock.advance(50);
  const second = bench.submit([], {tasks: [half]});
  bench.clock.advance(200);
  assert.equal(bench.worker('w1').running, 1);
  bench.clock.advance(700);
  assert.equal(bench.answer(first)?.status, 'complete');
  assert.equal(bench.answer(second)?.status, 'complete');
  assert.equal(bench.registry.get('w1')?.memoryUsedMb, 0);
});

test('a worker that announces itself but never replies loses its lease', () => {
  const bench = new DispatchBench();
  const key = bench.submit([60_000]);
  bench.clock.advance(100);
  bench.worker('w1').dropsInput = true;
  bench.clock.advance(15_000);
  assert.propertyVal(bench.answer(key), 'outcome', 'outcome_unknown');
});

test('a worker that replies keeps its lease during a long task', () => {
  const bench = new DispatchBench();
  const key = bench.submit([60_000]);
  bench.clock.advance(62_000);
  assert.equal(bench.answer(key)?.status, 'complete');
});

// Guards against a task that crashes one worker after the other: the users allow
// two more starts after three crashes, changes of the dispatcher included.
test('a task that crashes its workers is started a bounded number of times', () => {
  const bench = new DispatchBench({workers: 8, classes: [REPEATABLE]});
  for (let n = 1; n <= 8; n += 1) {
    bench.worker(`w${n}`).observer = {
      started: worker => bench.clock.schedule(1, () => worker.kill()),
      ended: () => undefined,
    };
  }
  const key = bench.submit([1_000]);
  for (let n = 0; n < 10; n += 1) {
    bench.clock.advance(3_000);
    bench.replicator.lead(bench.clock.now());
  }
  bench.clock.advance(30_000);
  assert.isAtMost(bench.starts().length, 5);
  assert.isAbove(bench.starts().length, 1);
  assert.equal(bench.answer(key)?.status, 'failed');
});
