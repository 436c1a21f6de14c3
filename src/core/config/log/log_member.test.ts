import {assert} from 'chai';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';

const {changeOf} = ConfigBench;

test('one leader is elected and its successor keeps what was accepted', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const first = bench.waitForLeader();
  const made = bench.change('f1', changeOf('k1', 1, 'a'));
  assert.deepEqual(made, {kind: 'accepted', version: 2});
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

// A node that was isolated for long must not depose a working leader.
test('pre-vote keeps the term when a long isolated node comes back', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  const {term} = bench.node(leader).logMember!;
  const alone = bench.voters.find(id => id !== leader)!;
  bench.peers.isolate([alone], bench.ids);
  bench.clock.advance(600_000);
  assert.equal(bench.node(alone).logMember!.term, term);
  bench.peers.heal();
  bench.clock.advance(10_000);
  assert.equal(bench.leader, leader);
  assert.equal(bench.node(leader).logMember!.term, term);
});

test('a leader without a majority steps down and reads as not current', () => {
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

// A stale leader must not answer from its own state while a new one accepts.
test('a read after an accepted change sees it', () => {
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
  bench.waitUntil('an answer', () => read.answer !== undefined);
  assert.nestedPropertyVal(read.answer, 'config.version', 2);
});

test('changes that arrive during a sync share the next one', () => {
  const bench = new ConfigBench({voters: 1, followers: 0});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(1_000);
  const disk = bench.disks.get('v1')!;
  const before = disk.syncs;
  const boxes = Array.from({length: 50}, (_, at) =>
    bench.submit('v1', {kind: 'change', change: changeOf(`k${at}`, 1, 'a')}),
  );
  bench.waitUntil('all answers', () =>
    boxes.every(b => b.answer !== undefined),
  );
  // Two for the log; two for each version that comes into force.
  assert.isAtMost(disk.syncs - before, 6);
});

test('a leader hands over at a planned stop within a heartbeat', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const old = bench.waitForLeader();
  bench.clock.advance(2_000);
  bench.node(old).transferLeadership(bench.clock.now());
  const ms = bench.waitUntil('the handover', () => {
    const {leader} = bench;
    return leader !== undefined && leader !== old;
  });
  assert.isBelow(ms, 500);
  assert.isUndefined(bench.node(old).logMember!.leader);
});

test('a member far behind catches up by snapshot', () => {
  const bench = new ConfigBench({followers: 0});
  bench.startAll();
  const leader = bench.waitForLeader();
  const behind = bench.voters.find(id => id !== leader)!;
  bench.crash(behind);
  for (let n = 1; n <= 300; n += 1) {
    bench.change(leader, changeOf(`k${n}`, n, 'a', n));
  }
  assert.isAbove(bench.node(leader).logMember!.store.baseIndex, 1);
  bench.start(behind);
  bench.waitUntil('the catch-up', () => bench.version(behind) === 301);
});

test('heartbeats go from the leader to n-1 members and back', () => {
  const bench = new ConfigBench({voters: 5, followers: 0});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(10_000);
  const count = () =>
    [...bench.peers.messages.values()].reduce((a, b) => a + b);
  const before = count();
  bench.clock.advance(60_000);
  // 75 heartbeats (at the first 100 ms tick after 750 ms) of 4 messages and 4 answers, each counted at both ends,
  // and about 10 polls with answers from each of 4 nodes.
  const beats = 75 * 4 * 2 * 2;
  assert.approximately(count() - before, beats + 4 * 10 * 4, 40);
});

// The second change arrives while the sync of the first runs.
test('a change is accepted only after its own sync', () => {
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
  bench.waitUntil('the second answer', () => isAccepted);
  bench.start('v1');
  bench.waitUntil('version 3', () => bench.version('v1') === 3, 10_000);
});
