import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';

const REPEATABLE = DispatchBench.classOf('default', {repeatable: true});

test('the answer of a job contains all results in task order', () => {
  const bench = new DispatchBench();
  const key = bench.submit([300, 100, 200]);
  bench.clock.advance(1_000);
  assert.deepEqual(bench.answer(key), {
    status: 'complete',
    key: key.text,
    results: [0, 1, 2],
  });
});

test('a resubmission starts no task twice', () => {
  const bench = new DispatchBench();
  const key = bench.submit([100, 100]);
  const again = bench.spec(key, [100, 100]);
  for (let n = 0; n < 5; n += 1) {
    const joined = bench.dispatcher.submit(key, again, bench.clock.now());
    assert.isTrue(joined.isOk);
    bench.clock.advance(40);
  }
  assert.lengthOf(bench.starts(), 2);
});

test('a known key with another body is refused as a conflict', () => {
  const bench = new DispatchBench();
  const key = bench.submit([100]);
  const other = bench.spec(key, [100, 100]);
  const refused = bench.dispatcher.submit(key, other, bench.clock.now());
  assert.isTrue(refused.isErr);
  if (refused.isErr) assert.equal(refused.error.code, 'conflict');
});

test('a key older than the retained job records is refused', () => {
  const bench = new DispatchBench();
  const key = bench.newKey();
  bench.replicator.lead(bench.clock.now());
  const spec = bench.spec(key, [100]);
  const refused = bench.dispatcher.submit(key, spec, bench.clock.now());
  assert.isTrue(refused.isErr);
  if (refused.isErr) assert.equal(refused.error.outcome, 'outcome_unknown');
});

test('cancelled queued tasks need no message and never start', () => {
  const bench = new DispatchBench({slots: 1});
  bench.submit([500]);
  const key = bench.submit([100, 100]);
  bench.clock.advance(50);
  bench.dispatcher.cancel(key, bench.clock.now());
  bench.clock.advance(2_000);
  const answer = bench.answer(key);
  assert.equal(answer?.status, 'cancelled');
  assert.propertyVal(answer, 'outcome', 'not_run');
  assert.equal(bench.fleet.sent.stop, 0);
  assert.lengthOf(bench.starts(), 1);
});

test('running tasks of a cancelled job get one stop message per worker', () => {
  const bench = new DispatchBench();
  const key = bench.submit([5_000, 5_000, 5_000]);
  bench.clock.advance(100);
  bench.dispatcher.cancel(key, bench.clock.now());
  bench.clock.advance(2_000);
  assert.equal(bench.fleet.sent.stop, 1);
  assert.equal(bench.worker('w1').running, 0);
});

test('a job cancelled before its submission arrives does not start', () => {
  const bench = new DispatchBench();
  const key = bench.newKey();
  bench.dispatcher.cancel(key, bench.clock.now());
  bench.clock.advance(10);
  bench.dispatcher.submit(key, bench.spec(key, [100]), bench.clock.now());
  bench.clock.advance(500);
  assert.equal(bench.answer(key)?.status, 'cancelled');
  assert.lengthOf(bench.starts(), 0);
});

test('a non-repeatable task of a lost worker has an unknown outcome', () => {
  const bench = new DispatchBench({workers: 2, slots: 1});
  const key = bench.submit([1_000]);
  bench.clock.advance(100);
  const holder = ['w1', 'w2'].find(id => bench.worker(id).running === 1)!;
  bench.worker(holder).kill();
  bench.clock.advance(10_000);
  assert.propertyVal(bench.answer(key), 'outcome', 'outcome_unknown');
  assert.lengthOf(bench.starts(), 1);
});

test('a repeatable task runs again after its worker is lost', () => {
  const bench = new DispatchBench({
    workers: 2,
    slots: 1,
    classes: [REPEATABLE],
  });
  const key = bench.submit([1_000]);
  bench.clock.advance(100);
  const holder = ['w1', 'w2'].find(id => bench.worker(id).running === 1)!;
  bench.worker(holder).kill();
  bench.clock.advance(10_000);
  assert.equal(bench.answer(key)?.status, 'complete');
});

test('a request marked not repeatable is not retried', () => {
  const bench = new DispatchBench({
    workers: 2,
    slots: 1,
    classes: [REPEATABLE],
  });
  const key = bench.submit([1_000], {repeatable: false});
  bench.clock.advance(100);
  for (const id of ['w1', 'w2']) bench.worker(id).restart(`${id}-2`);
  bench.clock.advance(10_000);
  assert.propertyVal(bench.answer(key), 'outcome', 'outcome_unknown');
  assert.lengthOf(bench.starts(), 1);
});

test('a leaving worker gets no new tasks and completes running ones', () => {
  const bench = new DispatchBench({workers: 1});
  const first = bench.submit([1_000]);
  bench.clock.advance(100);
  const worker = bench.worker('w1');
  worker.announcement = {...worker.announcement, leaving: true};
  bench.clock.advance(600);
  const second = bench.submit([10]);
  bench.clock.advance(2_000);
  assert.equal(bench.answer(first)?.status, 'complete');
  assert.equal(bench.answer(second)?.status, 'running');
});

test('a lost report is recovered by polling', () => {
  const bench = new DispatchBench();
  const key = bench.submit([500]);
  bench.clock.advance(400);
  bench.worker('w1').isCut = true;
  bench.clock.advance(400);
  bench.worker('w1').isCut = false;
  bench.clock.advance(2_500);
  assert.equal(bench.answer(key)?.status, 'complete');
  assert.lengthOf(bench.starts(), 1);
});

test('a task too large for every worker is refused with the reason', () => {
  const bench = new DispatchBench();
  const key = bench.newKey();
  const spec = bench.spec(key, [], {
    tasks: [{payload: null, memory_mb: 1_000_000}],
  });
  const refused = bench.dispatcher.submit(key, spec, bench.clock.now());
  assert.isTrue(refused.isErr);
  if (refused.isErr) assert.equal(refused.error.code, 'unplaceable');
});
