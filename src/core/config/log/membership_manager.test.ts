import {assert} from 'chai';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';

const {changeOf} = ConfigBench;

function votersOf(bench: ConfigBench): string[] {
  const {members} = bench.node(bench.waitForLeader()).logMember!.store;
  return members.voters.map(m => m.node).sort();
}

test('a learner is added, promoted and removed', () => {
  const bench = new ConfigBench({spares: 1});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(3_000);
  const add = {op: 'add', node: 's1'} as const;
  assert.propertyVal(bench.members('f1', add), 'kind', 'members_done');
  assert.deepEqual(votersOf(bench), ['v1', 'v2', 'v3']);
  bench.clock.advance(2_000);
  const promote = {op: 'promote', node: 's1'} as const;
  assert.propertyVal(bench.members('f1', promote), 'kind', 'members_done');
  assert.deepEqual(votersOf(bench), ['s1', 'v1', 'v2', 'v3']);
  const remove = {op: 'remove', node: 'v1'} as const;
  assert.propertyVal(bench.members('f1', remove), 'kind', 'members_done');
  assert.deepEqual(votersOf(bench), ['s1', 'v2', 'v3']);
});

test('one request replaces a voter, including the leader', () => {
  for (const target of ['leader', 'other']) {
    const bench = new ConfigBench({spares: 1});
    bench.startAll();
    const leader = bench.waitForLeader();
    bench.clock.advance(3_000);
    const old =
      target === 'leader' ? leader : bench.voters.find(id => id !== leader)!;
    const answer = bench.members('f1', {op: 'replace', old, next: 's1'});
    assert.propertyVal(answer, 'kind', 'members_done');
    const expected = ['s1', ...bench.voters.filter(id => id !== old)].sort();
    assert.deepEqual(votersOf(bench), expected);
  }
});

// The replacement is recorded in the log, so it does not depend on one leader.
test('a new leader completes a replacement started by a crashed one', () => {
  const bench = new ConfigBench({voters: 5, spares: 1});
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.clock.advance(3_000);
  const old = bench.voters.find(id => id !== leader)!;
  bench.crash('s1');
  const pending = bench.submit('f1', {
    kind: 'members',
    request: {op: 'replace', old, next: 's1'},
  });
  bench.clock.advance(1_000);
  bench.crash(leader);
  bench.start('s1');
  bench.waitUntil('the replacement', () => {
    const {leader: now} = bench;
    return now !== undefined && !votersOf(bench).includes(old);
  });
  assert.include(votersOf(bench), 's1');
  bench.waitUntil('a response', () => pending.answer !== undefined);
  assert.propertyVal(pending.answer, 'kind', 'members_done');
});

test('removing the last voter and adding a node without a folder fail', () => {
  const bench = new ConfigBench({voters: 1});
  bench.startAll();
  bench.waitForLeader();
  const last = bench.members('v1', {op: 'remove', node: 'v1'});
  assert.nestedPropertyVal(last, 'refusal.code', 'invalid');
  const absent = bench.members('v1', {op: 'add', node: 'f1'});
  assert.nestedPropertyVal(absent, 'refusal.outcome', 'not_made');
});

// An empty folder has lost its votes and acknowledgements, so the node must not
// count as the same voter.
test('a node with a replaced disk rejoins as a learner with a new id', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.change(leader, changeOf('k1', 1, 'a'));
  const lost = bench.voters.find(id => id !== leader)!;
  const before = bench.node(lost).logMember!.id.storage;
  bench.crashAndWipe(lost);
  bench.clock.advance(2_000);
  bench.start(lost);
  assert.isFalse(bench.node(lost).logMember!.isVoter);
  bench.waitUntil('the repair', () => bench.node(lost).logMember!.isVoter);
  assert.notEqual(bench.node(lost).logMember!.id.storage, before);
  assert.lengthOf(bench.node(leader).logMember!.store.members.voters, 3);
});

// With the vote of the wiped node, the third node would become leader without
// the accepted change.
test('a node with a wiped folder does not vote before it has rejoined', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  const [lost, third] = bench.voters.filter(id => id !== leader);
  bench.change(leader, changeOf('k1', 1, 'a'));
  // Possibly only the leader and the lost node have stored the change.
  bench.crash(leader);
  bench.crashAndWipe(lost!);
  bench.start(lost!);
  bench.clock.advance(30_000);
  assert.isUndefined(bench.node(third!).logMember!.leader);
  assert.isUndefined(bench.node(lost!).logMember!.leader);
  bench.start(leader);
  bench.waitUntil('the repair', () => bench.node(lost!).logMember!.isVoter);
  assert.equal(bench.version(lost!), 2);
});

test('two disks lost one after the other lose no accepted change', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  const [a, b] = bench.voters.filter(id => id !== leader);
  bench.crashAndWipe(a!);
  bench.change(leader, changeOf('k1', 1, 'a'));
  bench.start(a!);
  bench.waitUntil('the repair', () => {
    const {members} = bench.node(leader).logMember!.store;
    return bench.node(a!).logMember!.isVoter && !members.replacing;
  });
  bench.crashAndWipe(b!);
  const accepted = bench.change('f1', changeOf('k2', 2, 'b'));
  assert.deepEqual(accepted, {kind: 'accepted', version: 3});
  bench.start(b!);
  bench.waitUntil('the second repair', () => bench.node(b!).logMember!.isVoter);
  bench.crash(leader);
  const successor = bench.node(bench.waitForLeader()).logMember!;
  assert.equal(successor.state!.current.version, 3);
});

// If the member of the lost folder still counted as a voter at that time, the
// crash of the leader would leave no majority.
test('a leader can be elected as soon as a lost voter is replaced', () => {
  for (const seed of [1, 13, 17]) {
    const bench = new ConfigBench({seed});
    bench.startAll();
    const leader = bench.waitForLeader();
    const lost = bench.voters.find(id => id !== leader)!;
    bench.crashAndWipe(lost);
    bench.start(lost);
    bench.waitUntil('the repair', () => bench.node(lost).logMember!.isVoter);
    bench.crash(leader);
    bench.waitForLeader();
  }
});

test('voters with wiped folders do not create a second log', () => {
  const bench = new ConfigBench();
  bench.startAll();
  bench.change('f1', changeOf('k1', 1, 'a'));
  const {log} = bench.node('v3').logMember!.store.voteState;
  // v1 is the node that creates logs; together with v2 it could outvote v3.
  for (const id of ['v1', 'v2']) bench.crashAndWipe(id);
  for (const id of ['v1', 'v2']) bench.start(id);
  bench.clock.advance(60_000);
  for (const id of ['v1', 'v2']) {
    assert.notInclude(
      [undefined, log],
      bench.node(id).logMember!.store.storage,
    );
    assert.isUndefined(bench.node(id).logMember!.leader);
  }
  assert.equal(bench.version('f1'), 2);
});

// Only the crashed leader's log contains its uncommitted removal. No other
// member can win an election without its vote, so it must remain a candidate
// although its latest members no longer include it.
test('a leader that crashes while removing itself can be elected again', () => {
  const bench = new ConfigBench({voters: 1, spares: 1, followers: 0});
  bench.startAll();
  bench.waitForLeader();
  bench.clock.advance(3_000);
  bench.members('v1', {op: 'add', node: 's1'});
  bench.clock.advance(3_000);
  bench.members('v1', {op: 'promote', node: 's1'});
  const {store} = bench.node('v1').logMember!;
  bench.peers.cut('v1', 's1');
  bench.submit('v1', {
    kind: 'members',
    request: {op: 'remove', node: 'v1'},
  });
  bench.waitUntil('the sync', () => store.durableIndex === store.lastIndex);
  bench.crash('v1');
  bench.peers.heal();
  bench.start('v1');
  bench.waitUntil('a leader', () => bench.leader !== undefined);
  bench.waitUntil('the removal', () => votersOf(bench).join() === 's1');
});

// With two uncommitted changes, two majorities without a common voter can
// exist.
test('a membership change is refused while another one is uncommitted', () => {
  const bench = new ConfigBench({voters: 5});
  bench.startAll();
  const leader = bench.waitForLeader();
  const [a, b] = bench.voters.filter(id => id !== leader);
  bench.peers.isolate([leader], bench.ids);
  const remove = (node: string) =>
    bench.submit(leader, {
      kind: 'members',
      request: {op: 'remove', node},
    });
  const first = remove(a!);
  const second = remove(b!);
  bench.clock.advance(100);
  assert.isUndefined(first.answer);
  assert.nestedPropertyVal(second.answer, 'refusal.outcome', 'not_made');
});
