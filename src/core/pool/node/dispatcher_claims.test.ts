import {assert} from 'chai';
import {DispatcherClaims} from './dispatcher_claims.js';

const HOLDER = {
  node: 'zc1',
  term: 1,
  token: 1_002,
  isFallback: false,
  zone: 'z',
  revision: 1,
  heardAt: 0,
};

function leaderWith(node: string, token: number, heardAt: number) {
  const grants = [{zone: 'z', node, token}];
  const claim = {node: 'xc1', term: 1, token: 1_000, isFallback: false};
  return {...claim, grants, revision: 1, heardAt};
}

// An entry node hears the holder of another zone only when it has jobs there.
test('the successor of a lost lender is taken from the grants', () => {
  const claims = new DispatcherClaims();
  claims.record(HOLDER);
  claims.record(leaderWith('zc1', 1_002, 500));
  assert.equal(claims.lenderOf('z', 500)?.node, 'zc1');
  assert.isUndefined(claims.lenderOf('z', 700));
  claims.record(leaderWith('zc2', 1_005, 700));
  const successor = claims.lenderOf('z', 1_900);
  assert.include(successor, {node: 'zc2', token: 1_005, zone: 'z'});
});

test('old grants name no lender', () => {
  const claims = new DispatcherClaims();
  claims.record(leaderWith('zc2', 1_005, 700));
  assert.equal(claims.lenderOf('z', 2_000)?.node, 'zc2');
  assert.isUndefined(claims.lenderOf('z', 2_001));
});
