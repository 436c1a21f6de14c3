import {assert} from 'chai';
import fc from 'fast-check';
import {maxMinLevel} from './max_min_level.js';

test('a max-min division is full, and no one above the level gets more', () => {
  const demands = fc.array(fc.nat(200), {minLength: 1, maxLength: 20});
  fc.assert(
    fc.property(demands, fc.nat(500), (wanted, capacity) => {
      const level = maxMinLevel(wanted, capacity);
      const parts = wanted.map(demand => Math.min(demand, level));
      const given = parts.reduce((sum, part) => sum + part, 0);
      const total = wanted.reduce((sum, demand) => sum + demand, 0);
      assert.closeTo(given, Math.min(total, capacity), 1e-6);
    }),
    {seed: 1, numRuns: 300},
  );
});
