import {assert} from 'chai';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';

const {changeOf} = ConfigBench;

test('accepted changes survive a crash of the leader', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const first = bench.waitForLeader();
  const accepted = bench.change('f1', changeOf('k1', 1, 'a'));
  assert.deepEqual(accepted, {kind: 'accepted', version: 2});
  bench.crash(first);
  bench.waitUntil('another leader', () => {
    const {leader} = bench;
    return leader !== undefined && leader !== first;
  });
  const next = bench.change('f1', changeOf('k2', 2, 'b'));
  assert.deepEqual(next, {kind: 'accepted', version: 3});
  bench.start(first);
  bench.waitUntil('version 3', () =>
    bench.ids.every(id => bench.version(id) === 3),
  );
});

// Without a pre-vote, the isolated node would raise its term with each election
// and depose the working leader when it reconnects.
test('a node that reconnects after an isolation keeps the term', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  const {term} = bench.node(leader).logMember!;
  const isolated = bench.voters.find(id => id !== leader)!;
  bench.peers.isolate([isolated], bench.ids);
  bench.clock.advance(600_000);
  assert.equal(bench.node(isolated).logMember!.term, term);
  bench.peers.heal();
  bench.clock.advance(10_000);
  assert.equal(bench.leader, leader);
  assert.equal(bench.node(leader).logMember!.term, term);
});

test('a leader without a majority steps down and fails pending reads', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.peers.isolate([leader], bench.ids);
  const read = bench.submit(leader, {kind: 'read'});
  bench.clock.advance(2_500);
  assert.isUndefined(bench.node(leader).logMember!.leader);
  bench.clock.advance(6_000);
  assert.propertyVal(read.answer, 'code', 'unavailable');
});

// A deposed leader must not answer a read from its own state after a new leader
// has accepted a change.
test('a read at a deposed leader returns the change of the new leader', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const old = bench.waitForLeader();
  const others = bench.ids.filter(id => id !== old);
  bench.peers.isolate([old], others);
  const read = bench.submit(old, {kind: 'read'});
  bench.waitUntil('a new leader', () => {
    const {leader} = bench;
    return leader !== undefined && leader !== old;
  });
  bench.change(bench.waitForLeader(), changeOf('k1', 1, 'a'));
  bench.peers.heal();
  bench.waitUntil('a response', () => read.answer !== undefined);
  assert.nestedPropertyVal(read.answer, 'config.version', 2);
});

// Guards group commit: one sync per change would limit the rate of changes.
test('changes that arrive during a disk sync share the next sync', () => {
  const bench = new ConfigBench({voters: 1, followers: 0});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(1_000);
  const disk = bench.disks.get('v1')!;
  const before = disk.syncs;
  const pending = Array.from({length: 50}, (_, at) =>
    bench.submit('v1', {kind: 'change', change: changeOf(`k${at}`, 1, 'a')}),
  );
  bench.waitUntil('all responses', () =>
    pending.every(p => p.answer !== undefined),
  );
  // Two for the log and two for each version that comes into force.
  assert.isAtMost(disk.syncs - before, 6);
});

test('a leadership transfer completes within a heartbeat interval', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const old = bench.waitForLeader();
  bench.clock.advance(2_000);
  bench.node(old).transferLeadership(bench.clock.now());
  const ms = bench.waitUntil('the transfer', () => {
    const {leader} = bench;
    return leader !== undefined && leader !== old;
  });
  assert.isBelow(ms, 500);
  assert.isUndefined(bench.node(old).logMember!.leader);
});

test('a member that is behind a compacted log catches up by snapshot', () => {
  const bench = new ConfigBench({followers: 0});
  bench.startAll();
  const leader = bench.waitForLeader();
  const lagging = bench.voters.find(id => id !== leader)!;
  bench.crash(lagging);
  for (let n = 1; n <= 300; n += 1) {
    bench.change(leader, changeOf(`k${n}`, n, 'a', n));
  }
  assert.isAbove(bench.node(leader).logMember!.store.baseIndex, 1);
  bench.start(lagging);
  bench.waitUntil('the catch-up', () => bench.version(lagging) === 301);
});

test('an idle leader exchanges one heartbeat with each other member', () => {
  const bench = new ConfigBench({voters: 5, followers: 0});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(10_000);
  const count = () =>
    [...bench.peers.messages.values()].reduce((a, b) => a + b);
  const before = count();
  bench.clock.advance(60_000);
  // 75 heartbeats, as the first 100 ms tick after 750 ms sends one. Each has 4
  // messages and 4 replies, counted by sender and receiver. In addition, 4
  // nodes send about 10 polls each and get replies.
  const heartbeats = 75 * 4 * 2 * 2;
  assert.approximately(count() - before, heartbeats + 4 * 10 * 4, 40);
});

// The second change arrives during the sync of the first one. If the end of
// that sync acknowledged it, a crash would lose an accepted change.
test('a change is accepted only after the sync that includes it', () => {
  const bench = new ConfigBench({voters: 1, followers: 0});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(1_000);
  const node = bench.node('v1');
  const submit = (key: string, expected: number, done: () => void) => {
    const change = changeOf(key, expected, key);
    node.submit({kind: 'change', change}, bench.clock.now(), done);
  };
  let isAccepted = false;
  submit('k1', 1, () => undefined);
  bench.clock.advance(0.5);
  submit('k2', 2, () => {
    isAccepted = true;
    bench.crash('v1');
  });
  bench.waitUntil('the second response', () => isAccepted);
  bench.start('v1');
  bench.waitUntil('version 3', () => bench.version('v1') === 3, 10_000);
});
