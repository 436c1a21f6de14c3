import {assert} from 'chai';
import {checkPool} from './check_pool.js';
import {checkZones} from './check_zones.js';

// Guards against tasks that crash worker after worker, starts beyond a capacity
// that has shrunk, and jobs that fail since workers were cut off.
test('generated histories of the pool keep the rules on starts', async () => {
  const report = await checkPool(28, 60);
  assert.deepEqual(report.counterexample, undefined);
  assert.isAbove(report.crashes, 50);
});

// Guards against a task that two dispatchers run at once, and against zones that
// stay without a dispatcher after faults.
test('generated histories of zones keep what callers are promised', async () => {
  const report = await checkZones(1, 5);
  assert.deepEqual(report.counterexample, undefined);
  assert.isAbove(report.moved, 0);
});

// Guards against a task that the leader of all zones and the fallback of one run at
// once, with slow nodes, links that work one way and callers that send jobs again.
test('generated histories of one leader keep what callers are promised', async () => {
  const report = await checkZones(31, 3, 'leader');
  assert.deepEqual(report.counterexample, undefined);
});
