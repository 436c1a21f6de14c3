import {assert} from 'chai';
import {ConfigBench} from '../../../test-support/fakes/config_bench.js';

const {changeOf} = ConfigBench;

test('one of several concurrent changes of a version is accepted', () => {
  const bench = new ConfigBench({followers: 2});
  bench.startAll();
  bench.waitForLeader();
  for (let version = 1; version <= 20; version += 1) {
    const pending = bench.ids.map(id =>
      bench.submit(id, {
        kind: 'change',
        change: changeOf(`${id}-${version}`, version, 'a', version),
      }),
    );
    bench.waitUntil('all responses', () =>
      pending.every(p => p.answer !== undefined),
    );
    const accepted = pending.filter(
      b => 'kind' in b.answer! && b.answer.kind === 'accepted',
    );
    assert.lengthOf(accepted, 1);
  }
});

// An operator resends a change whose response was lost with the leader; it must
// not be applied twice or be refused as a conflict.
test('a resent change gets its first outcome from later leaders', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const change = changeOf('k1', 1, 'a');
  const leader = bench.waitForLeader();
  bench.change(leader, change);
  bench.crash(leader);
  const successor = bench.waitForLeader();
  assert.deepEqual(bench.change(successor, change), {
    kind: 'accepted',
    version: 2,
  });
  bench.change(successor, changeOf('k2', 2, 'b'));
  for (const id of bench.voters) bench.crash(id);
  for (const id of bench.voters) bench.start(id);
  assert.deepEqual(bench.change('f1', change), {kind: 'accepted', version: 2});
});

test('a change is in force on all nodes within 2 s', () => {
  const bench = new ConfigBench({voters: 5, followers: 3});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(5_000);
  bench.change('f1', changeOf('k1', 1, 'a'));
  const ms = bench.waitUntil('version 2', () =>
    bench.ids.every(id => bench.version(id) === 2),
  );
  assert.isBelow(ms, 2_000);
});

test('a change is in force on all nodes 5 s after a partition heals', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = new ConfigBench({followers: 3, seed});
    bench.startAll();
    const leader = bench.waitForLeader();
    const zone = [bench.voters.find(id => id !== leader)!, 'f1', 'f2'];
    bench.peers.isolate(zone, bench.ids);
    bench.clock.advance(30_000);
    bench.change(leader, changeOf('k1', 1, 'a'));
    bench.clock.advance(30_000);
    assert.equal(bench.version('f1'), 1);
    bench.peers.heal();
    const ms = bench.waitUntil('version 2', () =>
      bench.ids.every(id => bench.version(id) === 2),
    );
    assert.isBelow(ms, 5_000, `seed ${seed}`);
  }
});

test('a partitioned minority keeps its version and refuses changes', () => {
  const bench = new ConfigBench({followers: 1});
  bench.startAll();
  const leader = bench.waitForLeader();
  const minority = [bench.voters.find(id => id !== leader)!, 'f1'];
  bench.peers.isolate(minority, bench.ids);
  bench.clock.advance(20_000);
  const refused = bench.change('f1', changeOf('k1', 1, 'a'));
  assert.deepInclude(refused, {code: 'unavailable', outcome: 'not_made'});
  assert.equal(bench.version('f1'), 1);
});

test('a change sent to a partitioned leader has an unknown outcome', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.peers.isolate([leader], bench.ids);
  const refused = bench.change(leader, changeOf('k1', 1, 'a'));
  assert.deepInclude(refused, {
    code: 'unavailable',
    outcome: 'outcome_unknown',
  });
});

test('a change is pushed to nodes that do not store the log', () => {
  const bench = new ConfigBench({followers: 3});
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.clock.advance(5_000);
  bench.change(leader, changeOf('k1', 1, 'a'));
  bench.clock.advance(10);
  for (const id of ['f1', 'f2', 'f3']) assert.equal(bench.version(id), 2);
});

test('a poll repairs a lost push within 2.5 s', () => {
  const bench = new ConfigBench({followers: 2});
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.clock.advance(3_000);
  bench.peers.cut(leader, 'f1');
  bench.change(leader, changeOf('k1', 1, 'a'));
  bench.clock.advance(100);
  assert.equal(bench.version('f1'), 1);
  bench.peers.heal();
  const ms = bench.waitUntil('version 2', () => bench.version('f1') === 2);
  assert.isBelow(ms, 2_500);
});

test('a voter restarted without a majority keeps the version in force', () => {
  const bench = new ConfigBench();
  bench.startAll();
  bench.change('f1', changeOf('k1', 1, 'a'));
  bench.waitUntil('version 2', () =>
    bench.ids.every(id => bench.version(id) === 2),
  );
  for (const id of bench.ids) bench.crash(id);
  bench.start('v2');
  assert.equal(bench.version('v2'), 2);
  bench.clock.advance(30_000);
  assert.equal(bench.version('v2'), 2);
});

test('status contains the version in force on each node', () => {
  const bench = new ConfigBench({followers: 2});
  bench.startAll();
  bench.waitForLeader();
  bench.change('f1', changeOf('k1', 1, 'a'));
  // Members of the log poll the leader every 6 s.
  bench.clock.advance(7_000);
  const res = bench.request('f2', {kind: 'status'});
  assert.propertyVal(res, 'kind', 'status');
  if (!('kind' in res) || res.kind !== 'status') return;
  const versions = res.status.in_force.map(f => `${f.node}=${f.version}`);
  assert.sameMembers(
    versions,
    bench.ids.map(id => `${id}=2`),
  );
});
