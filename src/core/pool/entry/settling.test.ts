import {assert} from 'chai';
import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import {Settling} from './settling.js';

function claim(change: Partial<DispatcherClaim>): DispatcherClaim {
  const base = {node: 'n', term: 1, token: 1_000, revision: 1, heardAt: 0};
  return {...base, isFallback: false, ...change};
}

const grants = [{zone: 'y', node: 'h', token: 1_003}];

// A leader of several zones once had runs in other zones, which the holder of a
// newly granted zone did not know of; their tasks ran twice.
test('runs of a leader of several zones are waited for in any case', () => {
  const to = claim({zone: 'z', token: 1_002});
  const [from, sole] = [claim({}), claim({soleZone: 'z'})];
  assert.equal(Settling.durationMs({zone: 'z', from, to}), 1_800);
  assert.equal(Settling.earlierToken({zone: 'z', from, to}), Infinity);
  assert.equal(Settling.earlierToken({zone: 'z', from: sole, to}), 1_000);
});

test('the holder of a zone has runs in the zone only', () => {
  const to = claim({token: 2_000, term: 2, grants});
  const holder = claim({zone: 'z', token: 1_002});
  assert.equal(Settling.earlierToken({zone: 'z', from: holder, to}), 1_002);
});

// After a partition the leader has forgotten workers of the zone. All that it
// knew had accepted its token while a run of the fallback was active on another.
test('runs of a fallback are waited for in any case', () => {
  const from = claim({isFallback: true, zone: 'z', token: 1_009});
  for (const to of [claim({term: 2, token: 2_000}), claim({token: 1_010})]) {
    assert.equal(Settling.earlierToken({zone: 'z', from, to}), Infinity);
    assert.equal(Settling.durationMs({zone: 'z', from, to}), 1_800);
  }
});

// The next leader of all zones once waited for nothing, as it polls all workers that
// it knows; the one before had started runs on a worker that it did not know.
test('the next leader of all zones waits for leases unless it knows all workers', () => {
  const from = claim({});
  const all = claim({term: 2, token: 2_000});
  const some = claim({term: 2, token: 2_000, grants});
  assert.equal(Settling.durationMs({zone: 'z', from, to: all}), 950);
  assert.equal(Settling.earlierToken({zone: 'z', from, to: all}), 1_000);
  assert.equal(Settling.durationMs({zone: 'z', from, to: some}), 1_800);
  assert.equal(Settling.earlierToken({zone: 'z', from, to: some}), Infinity);
});
