import {assert} from 'chai';
import fc from 'fast-check';
import {maxMinFairShare} from './max_min_fair_share.js';

test('a max-min allocation uses all capacity that the demands need', () => {
  const demands = fc.array(fc.nat(200), {minLength: 1, maxLength: 20});
  fc.assert(
    fc.property(demands, fc.nat(500), (wanted, capacity) => {
      const fairShare = maxMinFairShare(wanted, capacity);
      const shares = wanted.map(demand => Math.min(demand, fairShare));
      const allocated = shares.reduce((sum, share) => sum + share, 0);
      const total = wanted.reduce((sum, demand) => sum + demand, 0);
      assert.closeTo(allocated, Math.min(total, capacity), 1e-6);
    }),
    {seed: 1, numRuns: 300},
  );
});
