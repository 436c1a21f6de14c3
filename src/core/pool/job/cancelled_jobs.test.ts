import {assert} from 'chai';
import {CancelledJobs} from './cancelled_jobs.js';

// Without a bound in time, a node that runs for weeks would keep all ids.
test('a cancel is remembered for 30 s after it was last sent', () => {
  const cancelled = new CancelledJobs();
  cancelled.add('a', 0);
  cancelled.add('b', 1_000);
  cancelled.add('a', 5_000);
  assert.isTrue(cancelled.has('b', 30_999));
  assert.isFalse(cancelled.has('b', 31_000));
  assert.deepEqual(cancelled.ids(31_000), ['a']);
  assert.deepEqual(cancelled.ids(35_000), []);
});

// A wave of cancels must not use up the memory of a small node.
test('only the latest 50,000 cancels are remembered', () => {
  const cancelled = new CancelledJobs();
  for (let n = 0; n <= 50_000; n += 1) cancelled.add(`j${n}`, 0);
  assert.isFalse(cancelled.has('j0', 0));
  assert.isTrue(cancelled.has('j1', 0));
  assert.lengthOf(cancelled.ids(0), 50_000);
});
