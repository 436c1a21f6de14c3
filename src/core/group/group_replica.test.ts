import {assert} from 'chai';
import {GroupBench} from '../../../test-support/fakes/group_bench.js';

const TAKEOVER_MS = 2_000;

function others(bench: GroupBench, ...nodes: string[]): string[] {
  return bench.members.filter(node => !nodes.includes(node));
}

test('three new members elect one leader and commit everywhere', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  const keys = [bench.propose(leader), bench.propose(leader)];
  bench.clock.advance(1_000);
  for (const node of bench.members)
    assert.deepEqual(bench.appliedKeys(node), keys);
  assert.isEmpty(bench.violations);
});

test('a group of one leads at once and commits alone', () => {
  const bench = new GroupBench({members: ['n1']});
  const key = bench.propose('n1');
  assert.deepEqual(bench.appliedKeys('n1'), [key]);
});

test('a successor holds every committed event', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  const start = bench.replica(first).memoryStart;
  const keys = [1, 2, 3].map(() => bench.propose(first));
  // The others hold the events but have not heard of the commit.
  bench.clock.advance(2);
  assert.deepEqual(bench.appliedKeys(first), keys);
  bench.kill(first);
  const lostAt = bench.clock.now();
  const second = bench.awaitLeader(first);
  assert.isAtMost(bench.clock.now() - lostAt, TAKEOVER_MS);
  assert.deepEqual(bench.appliedKeys(second), keys);
  assert.equal(bench.replica(second).memoryStart, start);
  assert.isEmpty(bench.violations);
});

test('nothing commits without a majority', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  for (const node of others(bench, leader)) bench.kill(node);
  bench.propose(leader);
  bench.clock.advance(300);
  assert.isEmpty(bench.appliedKeys(leader));
});

test('a leader without a majority steps down', () => {
  // A caller must not wait at a leader that can commit nothing.
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.peers.isolate(leader);
  bench.clock.advance(800);
  assert.isUndefined(bench.replica(leader).leadingEpoch);
});

test('a restarted member does not count before it has caught up', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const [back, lost] = others(bench, leader) as [string, string];
  bench.kill(lost);
  bench.start(back);
  const key = bench.propose(leader);
  bench.clock.advance(400);
  // Leader and learner are two of three, yet the learner may have nothing.
  assert.notInclude(bench.appliedKeys(leader), key);
});

test('a learner without the jobs is not admitted', () => {
  // An empty member would take part in a majority that holds nothing.
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.propose(leader);
  const [back] = others(bench, leader) as [string];
  bench.peers.shouldDrop = (to, body) =>
    to === back && (body as {type?: string}).type === 'install';
  bench.start(back);
  bench.clock.advance(5_000);
  assert.notInclude(bench.replica(leader).status.members, back);
  bench.peers.shouldDrop = () => false;
  bench.awaitVotingMembers();
  assert.include(bench.replica(leader).status.members, back);
});

test('a second loss right after a repair loses nothing', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = new GroupBench({seed});
    const first = bench.awaitLeader();
    bench.awaitVotingMembers();
    const start = bench.replica(first).memoryStart;
    const keys = [1, 2, 3].map(() => bench.propose(first));
    const [back, keeper] = others(bench, first) as [string, string];
    bench.start(back);
    bench.awaitVotingMembers();
    bench.kill(first);
    const second = bench.awaitLeader(first);
    assert.deepEqual(bench.appliedKeys(second), keys);
    assert.equal(bench.replica(second).memoryStart, start);
    // The repaired member now carries the group with the new process.
    bench.start(first);
    bench.awaitVotingMembers();
    bench.kill(keeper);
    const third = bench.awaitLeader(keeper);
    assert.deepEqual(bench.appliedKeys(third), keys);
    assert.isEmpty(bench.violations);
  }
});

test('a restart of all members forms a group with a later memory', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  const start = bench.replica(first).memoryStart;
  const epoch = bench.replica(first).leadingEpoch!;
  bench.propose(first);
  for (const node of bench.members) bench.start(node);
  const second = bench.awaitLeader();
  assert.isAbove(bench.replica(second).memoryStart, start);
  assert.isAbove(bench.replica(second).leadingEpoch!, epoch);
  assert.isEmpty(bench.appliedKeys(second));
  assert.isEmpty(bench.violations);
});

test('a minority that kept its memory joins the group that formed anew', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.propose(first);
  for (const node of others(bench, first)) bench.start(node);
  bench.await('a new group', 10_000, () => {
    const leader = bench.leader();
    return leader !== undefined && leader !== first;
  });
  bench.awaitVotingMembers();
  const leader = bench.awaitLeader();
  const key = bench.propose(leader);
  bench.clock.advance(500);
  assert.deepEqual(bench.appliedKeys(first), [key]);
  assert.isEmpty(bench.violations);
});

test('a single restart never forms a group without the old jobs', () => {
  // All links are lossy, so the restarted member may hear no leader at first.
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = new GroupBench({seed});
    const leader = bench.awaitLeader();
    bench.awaitVotingMembers();
    const start = bench.replica(leader).memoryStart;
    bench.peers.loss = 0.3;
    bench.start(others(bench, leader)[0]!);
    bench.clock.advance(3_000);
    bench.peers.loss = 0;
    bench.awaitVotingMembers();
    assert.equal(bench.replica(bench.awaitLeader()).memoryStart, start);
  }
});

test('a member isolated for long does not disturb the others', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const [away] = others(bench, leader) as [string];
  const epoch = bench.replica(leader).leadingEpoch;
  bench.peers.isolate(away);
  bench.clock.advance(600_000);
  const key = bench.propose(leader);
  bench.peers.heal();
  bench.clock.advance(2_000);
  assert.equal(bench.replica(leader).leadingEpoch, epoch);
  assert.include(bench.appliedKeys(away), key);
});

test('an isolated leader obeys its successor on return', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.peers.isolate(first);
  bench.propose(first);
  const second = bench.awaitLeader(first);
  const key = bench.propose(second);
  bench.peers.heal();
  bench.clock.advance(1_000);
  assert.equal(bench.leader(), second);
  // What only the deposed leader held is gone, in favour of the committed.
  assert.deepEqual(bench.appliedKeys(first), [key]);
  assert.isEmpty(bench.violations);
});

test('a hand-over takes a few round trips and keeps the events', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  const keys = [bench.propose(first), bench.propose(first)];
  const from = bench.clock.now();
  assert.isTrue(bench.replica(first).handOver(from));
  assert.isUndefined(bench.replica(first).leadingEpoch);
  const second = bench.awaitLeader(first);
  assert.isAtMost(bench.clock.now() - from, 50);
  assert.deepEqual(bench.appliedKeys(second), keys);
  bench.clock.advance(10_000);
  assert.equal(bench.leader(), second);
});

test('a leader that no other can follow keeps the lead', () => {
  const bench = new GroupBench({witnesses: ['n2', 'n3']});
  const leader = bench.awaitLeader();
  assert.equal(leader, 'n1');
  assert.isFalse(bench.replica(leader).handOver(bench.clock.now()));
  assert.isDefined(bench.replica(leader).leadingEpoch);
});

test('a leader goes above the epoch that a worker obeys', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const higher = bench.replica(leader).leadingEpoch! + 1_000_000;
  bench.replica(leader).raiseEpochAbove(higher, bench.clock.now());
  assert.isUndefined(bench.replica(leader).leadingEpoch);
  assert.isAbove(bench.replica(bench.awaitLeader()).leadingEpoch!, higher);
  assert.isEmpty(bench.violations);
});

test('a witness hands on what only it holds, and never leads', () => {
  // A committed event may be at the lost leader and the witness only.
  const bench = new GroupBench({witnesses: ['n3']});
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  const [second] = others(bench, first, 'n3') as [string];
  bench.peers.cut(first, second);
  const key = bench.propose(first);
  bench.clock.advance(50);
  assert.deepEqual(bench.appliedKeys(first), [key]);
  bench.kill(first);
  assert.equal(bench.awaitLeader(first), second);
  assert.deepEqual(bench.appliedKeys(second), [key]);
  assert.notInclude([...bench.leaders.values()], 'n3');
});

test('a long outage of a member does not grow the log', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const [away] = others(bench, leader) as [string];
  bench.peers.isolate(away);
  for (let n = 0; n < 25_000; n += 1) {
    bench
      .replica(leader)
      .propose([{kind: 'acknowledged', key: 'none'}], bench.clock.now());
    if (n % 100 === 0) bench.clock.advance(1);
  }
  bench.clock.advance(300);
  assert.isBelow(bench.replica(leader).status.retained, 20_001);
  bench.peers.heal();
  bench.clock.advance(2_000);
  const key = bench.propose(leader);
  bench.clock.advance(500);
  assert.deepEqual(bench.appliedKeys(away), [key]);
  assert.isBelow(bench.replica(leader).status.retained, 10);
});

test('a member that handed its lead over leaves the next to others', () => {
  // It is about to stop, so its election would only cause another.
  for (let seed = 1; seed <= 10; seed += 1) {
    const bench = new GroupBench({seed});
    const first = bench.awaitLeader();
    bench.awaitVotingMembers();
    bench.replica(first).handOver(bench.clock.now());
    const second = bench.awaitLeader(first);
    bench.clock.advance(1_000);
    bench.kill(second);
    assert.notEqual(bench.awaitLeader(second), first);
  }
});

test('messages of unknown form and of strangers are ignored', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const {epoch, group} = bench.replica(leader).status;
  const vote = {
    type: 'vote',
    epoch: epoch + 1_000,
    group,
    settled: true,
    incarnation: 1,
    pre: false,
    lastIndex: 1_000,
    lastEpoch: epoch,
    commit: 0,
  };
  const [member] = others(bench, leader) as [string];
  const unknown = {...vote, lastIndex: 'last'};
  bench.peers.forge(member, leader, 'group.arbat', unknown);
  bench.peers.forge('n9', leader, 'group.arbat', vote);
  assert.equal(bench.replica(leader).leadingEpoch, epoch);
  // The same message counts when it is whole and comes from a member.
  bench.peers.forge(member, leader, 'group.arbat', vote);
  assert.isUndefined(bench.replica(leader).leadingEpoch);
});
