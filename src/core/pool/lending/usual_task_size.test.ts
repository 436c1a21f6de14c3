import {assert} from 'chai';
import {UsualTaskSize} from './usual_task_size.js';

// Room that is counted in the mean of 8 and 12 cores would hold no second task
// on a worker of 16 cores.
test('the usual size is a size that tasks have', () => {
  const size = new UsualTaskSize();
  for (let n = 0; n < 200; n += 1) size.record(n % 6 === 0 ? 12_000 : 8_000, 1);
  assert.equal(size.cpu, 8_000);
});

test('the first job gives a size, and a change of the work is followed', () => {
  const size = new UsualTaskSize();
  assert.equal(size.cpu, 0);
  size.record(8_000, 8);
  assert.equal(size.cpu, 8_000);
  for (let n = 0; n < 64; n += 1) size.record(2_000, 2);
  assert.equal(size.cpu, 2_000);
});
