import {assert} from 'chai';
import {checkPool} from './check_pool.js';

// Guards against jobs that are refused as "not run" although they have started,
// tasks that crash worker after worker, starts beyond a capacity that has shrunk,
// and jobs that fail since workers were cut off.
test('generated histories of the pool keep the rules on starts', async () => {
  const report = await checkPool(28, 60);
  assert.deepEqual(report.counterexample, undefined);
  assert.isAbove(report.crashes, 50);
  assert.isAbove(report.resubmissions, 10);
});
