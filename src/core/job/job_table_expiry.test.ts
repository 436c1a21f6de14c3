import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {JobTable} from './job_table.js';

// Retention must find old keys without a scan of all jobs, on every member.
test('old keys are found by age, also after a snapshot', () => {
  const bench = new DispatchBench();
  const start = bench.clock.now();
  const old = bench.submit([10]);
  bench.clock.advance(5_000);
  const young = bench.submit([10]);
  bench.clock.advance(100);
  const follower = new JobTable();
  follower.restore(bench.table.snapshot());
  for (const table of [bench.table, follower]) {
    assert.deepEqual([...table.keysCreatedBefore(start + 3_000)], [old.text]);
    table.apply({kind: 'expired', keys: [old.text]});
    assert.deepEqual([...table.keysCreatedBefore(start + 3_000)], []);
    assert.deepEqual([...table.keysCreatedBefore(start + 9_000)], [young.text]);
  }
});

test('a job is dropped after its retention', () => {
  const bench = new DispatchBench();
  const key = bench.submit([10]);
  bench.clock.advance(590_000);
  assert.isDefined(bench.table.get(key.text));
  bench.clock.advance(30_000);
  assert.isUndefined(bench.table.get(key.text));
});
