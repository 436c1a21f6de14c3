import {assert} from 'chai';
import {retryAfterMs} from './retry_after.js';

test('retries of refused callers are spread, and not too early', () => {
  const times = Array.from({length: 2_000}, (_, n) =>
    retryAfterMs(`5c0e7a21d94b${n.toString(16).padStart(4, '0')}`, 2_000),
  );
  assert.isAtLeast(Math.min(...times), 2_000);
  assert.isAtMost(Math.max(...times), 4_000);
  const tenths = Array.from({length: 10}, (_, at) => {
    const from = 2_000 + at * 200;
    return times.filter(t => t >= from && t < from + 200).length;
  });
  // Each interval holds a tenth of the 2,000 callers, within statistical noise.
  for (const count of tenths) assert.approximately(count, 200, 70);
});
