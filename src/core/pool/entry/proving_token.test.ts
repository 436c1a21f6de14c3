import {assert} from 'chai';
import {provingToken} from './proving_token.js';

const CLAIM = {
  node: 'c1',
  term: 2,
  token: 2_001,
  isFallback: false,
  revision: 1,
  heardAt: 0,
};

// A holder started a task in its zone that the leader had running in another.
test('the workers of one zone do not show the runs of the leader', () => {
  assert.equal(provingToken({...CLAIM, zone: 'z'}), 2_001);
  assert.equal(provingToken({...CLAIM, isFallback: true}), 2_001);
  assert.equal(provingToken(CLAIM), Number.POSITIVE_INFINITY);
});
