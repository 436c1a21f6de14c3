import {assert} from 'chai';
import type {DispatcherClaim} from './dispatcher_claim.js';
import {FailoverTiming} from './failover_timing.js';
import {DispatcherClaims} from './dispatcher_claims.js';

const BASE = {isFallback: false, revision: 1, heardAt: 0};

function leaderClaim(change: Partial<DispatcherClaim> = {}): DispatcherClaim {
  return {...BASE, node: 'l', term: 1, token: 1_000, ...change};
}

function holderClaim(change: Partial<DispatcherClaim> = {}): DispatcherClaim {
  return {...BASE, node: 'h', term: 1, token: 1_001, zone: 'z', ...change};
}

test('a leader that sends no grants dispatches all zones', () => {
  const claims = new DispatcherClaims();
  claims.record(leaderClaim());
  assert.equal(claims.dispatcherOf('z', 100)?.node, 'l');
});

test('a granted zone is dispatched by its holder, others by the leader', () => {
  const claims = new DispatcherClaims();
  const grants = [{zone: 'z', node: 'h', token: 1_001}];
  claims.record(leaderClaim({token: 1_002, grants}));
  assert.isUndefined(claims.dispatcherOf('z', 100));
  claims.record(holderClaim());
  assert.equal(claims.dispatcherOf('z', 100)?.node, 'h');
  assert.equal(claims.dispatcherOf('y', 100)?.node, 'l');
});

test('the claim with the highest token wins', () => {
  const claims = new DispatcherClaims();
  claims.record(holderClaim());
  claims.record(holderClaim({node: 'g', token: 1_005}));
  claims.record(holderClaim());
  assert.equal(claims.dispatcherOf('z', 100)?.node, 'g');
  claims.record(leaderClaim({term: 2, token: 2_000}));
  assert.equal(claims.dispatcherOf('z', 100)?.node, 'l');
});

// A holder that was suspended does not know yet that the fallback has taken over.
test('a holder with a lower token than the fallback is ignored', () => {
  const claims = new DispatcherClaims();
  const fallback = {isFallback: true, node: 'e', token: 1_009};
  claims.record(holderClaim(fallback));
  claims.record(holderClaim());
  assert.equal(claims.dispatcherOf('z', 100)?.node, 'e');
  // The leader raises its own token.
  claims.record(leaderClaim());
  assert.equal(claims.dispatcherOf('z', 100)?.node, 'l');
});

test('a withdrawn claim is cleared, a silent one expires', () => {
  const claims = new DispatcherClaims();
  claims.record(holderClaim());
  claims.clear('h');
  assert.isUndefined(claims.dispatcherOf('z', 100));
  claims.record(holderClaim({token: 1_002}));
  assert.isUndefined(claims.dispatcherOf('z', 700));
  assert.equal(claims.holderOf('z')?.node, 'h');
});

test('a zone that the leader withholds has no dispatcher', () => {
  const claims = new DispatcherClaims();
  claims.record(leaderClaim({unserved: ['z']}));
  assert.isUndefined(claims.dispatcherOf('z', 100));
  assert.equal(claims.tokenOf('z'), 0);
});

// An entry node hears the holder of another zone only when it has jobs there.
test('the successor of a lost lender is taken from the grants', () => {
  const claims = new DispatcherClaims();
  const grant = (node: string, token: number) => [{zone: 'z', node, token}];
  claims.record(holderClaim());
  claims.record(leaderClaim({grants: grant('h', 1_001), heardAt: 500}));
  assert.equal(claims.remoteDispatcherOf('z', 700)?.node, 'h');
  claims.record(leaderClaim({grants: grant('g', 1_005), heardAt: 700}));
  const successor = claims.remoteDispatcherOf('z', 1_600);
  assert.include(successor, {node: 'g', token: 1_005, zone: 'z'});
  const {DISTANT_LEADER_TIMEOUT_MS} = FailoverTiming;
  const isOver = 700 + DISTANT_LEADER_TIMEOUT_MS;
  assert.isUndefined(claims.remoteDispatcherOf('z', isOver));
});

// A holder with an older configuration served jobs after one with a newer.
test('the revision of a lost holder is remembered', () => {
  const claims = new DispatcherClaims();
  claims.record(holderClaim({revision: 9}));
  claims.record(holderClaim({node: 'g', token: 1_005, revision: 3}));
  claims.clear('h');
  assert.equal(claims.revision, 9);
});

// Guards against a time that an earlier process of the leader's node has stated, as
// the holder of a zone: the clocks of two processes cannot be compared.
test('a referral does not tell when a leader stated its claim', () => {
  const claims = new DispatcherClaims();
  claims.record(holderClaim({statedAt: 900}));
  claims.record(leaderClaim({node: 'h', term: 2, token: 2_000, statedAt: 300}));
  const referral = {zone: 'z', node: 'h', token: 1_001, statedAt: 900};
  claims.recordReferral(referral, 100);
  const claim = claims.remoteDispatcherOf('z', 100);
  assert.include(claim, {node: 'h', token: 2_000, statedAt: 300});
  claims.recordReferral(referral, 5_000);
  assert.isUndefined(claims.remoteDispatcherOf('z', 5_000)?.statedAt);
});

// Guards against jobs whose contact is lost to a repeated referral, which names no time.
test('a referral to the leader keeps the time of its own claim', () => {
  const claims = new DispatcherClaims();
  claims.record(leaderClaim({heardAt: 500, statedAt: 490}));
  claims.recordReferral({zone: 'z', node: 'l', token: 1_000}, 600);
  assert.include(claims.leader(600), {heardAt: 600, statedAt: 490});
});

// Guards against jobs that are submitted to a node that has said that it leads no more.
test('a referral does not revive the withdrawn claim of a leader', () => {
  const claims = new DispatcherClaims();
  claims.record(leaderClaim());
  claims.clear('l');
  const referral = {zone: 'z', node: 'l', token: 1_004, statedAt: 90};
  claims.recordReferral(referral, 100);
  assert.isUndefined(claims.leader(100));
  // The node may hold the zone since.
  assert.include(claims.dispatcherOf('z', 100), {node: 'l', zone: 'z'});
  assert.isUndefined(claims.dispatcherOf('y', 100));
});
