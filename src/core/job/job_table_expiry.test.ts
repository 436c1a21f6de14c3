import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {JobTable} from './job_table.js';

// Guards against jobs that never expire on a member that was restored from a
// snapshot, because its index of keys by creation time was not rebuilt.
test('old keys are found by creation time, also after a snapshot', () => {
  const bench = new DispatchBench();
  const start = bench.clock.now();
  const old = bench.submit([10]);
  bench.clock.advance(5_000);
  const recent = bench.submit([10]);
  bench.clock.advance(100);
  const follower = new JobTable();
  follower.restore(bench.table.snapshot());
  for (const table of [bench.table, follower]) {
    assert.deepEqual([...table.keysCreatedBefore(start + 3_000)], [old.text]);
    table.apply({kind: 'expired', keys: [old.text]});
    assert.deepEqual([...table.keysCreatedBefore(start + 3_000)], []);
    assert.deepEqual(
      [...table.keysCreatedBefore(start + 9_000)],
      [recent.text],
    );
  }
});

test('a job is dropped after its retention period', () => {
  const bench = new DispatchBench();
  const key = bench.submit([10]);
  bench.clock.advance(590_000);
  assert.isDefined(bench.table.get(key.text));
  bench.clock.advance(30_000);
  assert.isUndefined(bench.table.get(key.text));
});
