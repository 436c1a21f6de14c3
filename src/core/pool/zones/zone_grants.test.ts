import {assert} from 'chai';
import * as fc from 'fast-check';
import {ZoneGrants} from './zone_grants.js';
import type {ZoneGrant} from './zone_grant.js';
import type {ZoneView} from './zone_view.js';

const START = 100_000;
const TICK_MS = 20;

/** Zone `z` with core nodes `a` and `b`, of which the leader hears messages. */
function createBench() {
  let token = 1_000;
  let now = START;
  const grants = new ZoneGrants({
    node: 'leader',
    nextToken: () => {
      token += 1;
      return token;
    },
    currentToken: () => 1_000,
  });
  const heard = new Map([
    ['a', now],
    ['b', now],
    ['entry', now],
  ]);
  const state = {workers: 60, silent: new Set<string>()};
  let claim: ZoneView['claim'];
  const changes: string[] = [];
  const update = () => {
    for (const id of heard.keys()) {
      if (!state.silent.has(id)) heard.set(id, now);
    }
    const cores = ['a', 'b'].map(id => ({
      id,
      seenAt: heard.get(id)!,
      startedAt: 1,
      knownSince: 0,
      isDraining: false,
    }));
    const heardAt = Math.max(...heard.values());
    const {workers} = state;
    const view = {zone: 'z', workers, heardAt, cores, claim};
    for (const {event, reason} of grants.update([view], now)) {
      changes.push(`${event} ${reason}`);
    }
  };
  const claimAs = (grant: ZoneGrant | undefined) => {
    claim = grant && {
      ...grant,
      term: 1,
      isFallback: false,
      revision: 1,
      heardAt: now,
    };
  };
  return {
    grants,
    state,
    changes,
    claimAs,
    run: (ms: number, claims = true) => {
      for (const end = now + ms; now < end; now += TICK_MS) {
        update();
        const [grant] = grants.all;
        if (claims && grant && !state.silent.has(grant.node)) claimAs(grant);
      }
    },
    isServed: () => {
      const isUnserved = grants.unserved(now).includes('z');
      return grants.all.length === 0 && !isUnserved;
    },
  };
}

test('a zone is granted from 48 workers on and returns below 32', () => {
  const {grants, state, run, isServed} = createBench();
  state.workers = 47;
  run(1_000);
  assert.isTrue(isServed());
  state.workers = 48;
  run(100);
  assert.equal(grants.all[0]?.node, 'a');
  state.workers = 32;
  run(10_000);
  assert.lengthOf(grants.all, 1);
  state.workers = 31;
  run(10_000);
  assert.isTrue(isServed());
});

// After a partition, all workers report again within a few seconds.
test('a zone does not return because reports are missing for a moment', () => {
  const {grants, state, run, changes} = createBench();
  run(1_000);
  state.workers = 5;
  run(2_000);
  state.workers = 60;
  run(3_000);
  assert.lengthOf(grants.all, 1);
  assert.lengthOf(changes, 1);
});

test('a silent holder is replaced after 500 ms', () => {
  const {grants, state, run} = createBench();
  run(1_000);
  const [before] = grants.all;
  state.silent.add('a');
  run(480);
  assert.deepEqual(grants.all, [before!]);
  run(100);
  assert.equal(grants.all[0]?.node, 'b');
  assert.isAbove(grants.all[0]!.token, before!.token);
});

test('the holder of a silent zone keeps it', () => {
  const {grants, state, run, changes} = createBench();
  run(1_000);
  for (const id of ['a', 'b', 'entry']) state.silent.add(id);
  run(20_000);
  // The links of the zone are restored one after another.
  state.silent.delete('entry');
  run(300);
  state.silent.delete('b');
  run(300);
  state.silent.delete('a');
  run(5_000);
  assert.equal(grants.all[0]?.node, 'a');
  assert.lengthOf(changes, 1);
});

test('the leader dispatches for a zone that has lost its core nodes', () => {
  const {grants, state, run, isServed} = createBench();
  run(1_000);
  state.silent.add('a').add('b');
  run(1_500);
  assert.isTrue(isServed());
  state.silent.clear();
  run(100);
  assert.lengthOf(grants.all, 1);
});

test('a large zone that is cut off is not dispatched by the leader', () => {
  const {state, run, isServed} = createBench();
  state.workers = 10;
  run(1_000);
  state.workers = 60;
  state.silent.add('a').add('b');
  run(600);
  assert.isTrue(isServed());
  state.silent.add('entry');
  run(3_000);
  assert.isFalse(isServed());
});

test('a grant that nobody claims goes to another node', () => {
  const {grants, run} = createBench();
  run(400, false);
  assert.equal(grants.all[0]?.node, 'a');
  run(300, false);
  assert.equal(grants.all[0]?.node, 'b');
});

test('a holder that closes its dispatcher is replaced at once', () => {
  const {grants, run, claimAs} = createBench();
  run(1_000);
  claimAs(undefined);
  run(40, false);
  assert.equal(grants.all[0]?.node, 'b');
});

test('the holder of an earlier term is kept with its token', () => {
  const {grants, run, claimAs, changes} = createBench();
  claimAs({zone: 'z', node: 'b', token: 77});
  run(1_000);
  assert.deepEqual(grants.all, [{zone: 'z', node: 'b', token: 77}]);
  assert.deepEqual(changes, ['zone_kept claimed']);
});

test('tokens rise and the leader is no holder in random histories', () => {
  const ids = ['a', 'b', 'entry'];
  const step = fc.record({
    ms: fc.integer({min: 20, max: 2_500}),
    silent: fc.subarray(ids),
    workers: fc.constantFrom(10, 40, 60),
    claims: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 12}), steps => {
      const {grants, state, run} = createBench();
      let highest = 0;
      for (const {ms, silent, workers, claims} of steps) {
        state.silent = new Set(silent);
        state.workers = workers;
        run(ms, claims);
        const [grant] = grants.all;
        if (!grant) continue;
        assert.notEqual(grant.node, 'leader');
        assert.isAtLeast(grant.token, highest);
        highest = grant.token;
      }
    }),
    {seed: 5, numRuns: 100},
  );
});
