import {assert} from 'chai';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {FaultDeck} from './fault_deck.js';

const ROUNDS = 12;
const SEEDS = 50;

// Guards against runs that pass because they never inject some kind of fault.
test('every kind of fault is dealt within twelve rounds', () => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    for (const usesRelays of [true, false]) {
      const random = new SeededRandom(seed);
      const deck = new FaultDeck({random, usesRelays});
      for (let n = 0; n < ROUNDS * FaultDeck.PER_ROUND; n += 1) deck.next();
      assert.sameMembers([...deck.dealt.keys()], deck.kinds);
    }
  }
});
