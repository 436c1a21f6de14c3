import {assert} from 'chai';
import {GroupBench} from '../../../test-support/fakes/group_bench.js';

const MAX_FAILOVER_MS = 2_000;

function others(bench: GroupBench, ...nodes: string[]): string[] {
  return bench.members.filter(node => !nodes.includes(node));
}

test('three new members elect one leader and commit everywhere', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  const keys = [bench.propose(leader), bench.propose(leader)];
  bench.clock.advance(1_000);
  for (const node of bench.members) assert.deepEqual(bench.keysOf(node), keys);
  assert.isEmpty(bench.violations);
});

test('the only member of a group leads at once and commits alone', () => {
  const bench = new GroupBench({members: ['n1']});
  const key = bench.propose('n1');
  assert.deepEqual(bench.keysOf('n1'), [key]);
});

test('a new leader holds every committed event', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  const start = bench.replica(first).memoryStart;
  const keys = [1, 2, 3].map(() => bench.propose(first));
  // The others hold the events but have not received the commit index yet.
  bench.clock.advance(2);
  assert.deepEqual(bench.keysOf(first), keys);
  bench.kill(first);
  const lostAt = bench.clock.now();
  const second = bench.awaitLeader(first);
  assert.isAtMost(bench.clock.now() - lostAt, MAX_FAILOVER_MS);
  assert.deepEqual(bench.keysOf(second), keys);
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
  assert.isEmpty(bench.keysOf(leader));
});

// Guards against callers that wait for a leader that cannot commit.
test('a leader without a majority steps down', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.peers.isolate(leader);
  bench.clock.advance(800);
  assert.isUndefined(bench.replica(leader).leadingEpoch);
});

test('a restarted member has no vote before it has caught up', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const [restarted, lost] = others(bench, leader) as [string, string];
  bench.kill(lost);
  bench.start(restarted);
  const key = bench.propose(leader);
  bench.clock.advance(400);
  // Leader and learner are two of three members, but the learner has no state.
  assert.notInclude(bench.keysOf(leader), key);
});

// Guards against a majority that includes a member without the committed jobs.
test('a learner without the jobs is not admitted as a voter', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.propose(leader);
  const [restarted] = others(bench, leader) as [string];
  bench.peers.shouldDrop = (to, body) =>
    to === restarted && (body as {type?: string}).type === 'install';
  bench.start(restarted);
  bench.clock.advance(5_000);
  assert.notInclude(bench.replica(leader).status.members, restarted);
  bench.peers.shouldDrop = () => false;
  bench.awaitVotingMembers();
  assert.include(bench.replica(leader).status.members, restarted);
});

// Guards against lost events when members fail one after another, each as soon
// as the previous one has caught up.
test('consecutive failures of all members lose no event', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = new GroupBench({seed});
    const first = bench.awaitLeader();
    bench.awaitVotingMembers();
    const start = bench.replica(first).memoryStart;
    const keys = [1, 2, 3].map(() => bench.propose(first));
    const [restarted, survivor] = others(bench, first) as [string, string];
    bench.start(restarted);
    bench.awaitVotingMembers();
    bench.kill(first);
    const second = bench.awaitLeader(first);
    assert.deepEqual(bench.keysOf(second), keys);
    assert.equal(bench.replica(second).memoryStart, start);
    // Only the two restarted members are left to form a majority.
    bench.start(first);
    bench.awaitVotingMembers();
    bench.kill(survivor);
    const third = bench.awaitLeader(survivor);
    assert.deepEqual(bench.keysOf(third), keys);
    assert.isEmpty(bench.violations);
  }
});

test('a restart of all members forms a new group without the old jobs', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  const start = bench.replica(first).memoryStart;
  const epoch = bench.replica(first).leadingEpoch!;
  bench.propose(first);
  for (const node of bench.members) bench.start(node);
  const second = bench.awaitLeader();
  assert.isAbove(bench.replica(second).memoryStart, start);
  assert.isAbove(bench.replica(second).leadingEpoch!, epoch);
  assert.isEmpty(bench.keysOf(second));
  assert.isEmpty(bench.violations);
});

test('a minority that kept its state joins the newly formed group', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.propose(first);
  for (const node of others(bench, first)) bench.start(node);
  bench.await('new group', 10_000, () => {
    const leader = bench.leader();
    return leader !== undefined && leader !== first;
  });
  bench.awaitVotingMembers();
  const leader = bench.awaitLeader();
  const key = bench.propose(leader);
  bench.clock.advance(500);
  assert.deepEqual(bench.keysOf(first), [key]);
  assert.isEmpty(bench.violations);
});

// Guards against a member that forms a new group because message loss kept it
// from finding the leader after its restart.
test('a single restart never forms a group without the old jobs', () => {
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
  const [isolated] = others(bench, leader) as [string];
  const epoch = bench.replica(leader).leadingEpoch;
  bench.peers.isolate(isolated);
  bench.clock.advance(600_000);
  const key = bench.propose(leader);
  bench.peers.heal();
  bench.clock.advance(2_000);
  assert.equal(bench.replica(leader).leadingEpoch, epoch);
  assert.include(bench.keysOf(isolated), key);
});

test('an isolated leader follows the new leader once reconnected', () => {
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
  // Events that only the deposed leader held are replaced by committed ones.
  assert.deepEqual(bench.keysOf(first), [key]);
  assert.isEmpty(bench.violations);
});

test('a hand-over takes a few round trips and loses no event', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  const keys = [bench.propose(first), bench.propose(first)];
  const from = bench.clock.now();
  assert.isTrue(bench.replica(first).handOver(from));
  assert.isUndefined(bench.replica(first).leadingEpoch);
  const second = bench.awaitLeader(first);
  assert.isAtMost(bench.clock.now() - from, 50);
  assert.deepEqual(bench.keysOf(second), keys);
  bench.clock.advance(10_000);
  assert.equal(bench.leader(), second);
});

test('a leader keeps the leadership if no other member can take over', () => {
  const bench = new GroupBench({witnesses: ['n2', 'n3']});
  const leader = bench.awaitLeader();
  assert.equal(leader, 'n1');
  assert.isFalse(bench.replica(leader).handOver(bench.clock.now()));
  assert.isDefined(bench.replica(leader).leadingEpoch);
});

test('a leader raises its epoch above the one accepted by a worker', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const higher = bench.replica(leader).leadingEpoch! + 1_000_000;
  bench.replica(leader).raiseEpochAbove(higher, bench.clock.now());
  assert.isUndefined(bench.replica(leader).leadingEpoch);
  assert.isAbove(bench.replica(bench.awaitLeader()).leadingEpoch!, higher);
  assert.isEmpty(bench.violations);
});

// Guards against the loss of a committed event that only the lost leader and a
// witness hold.
test('a witness passes its entries on to the candidate and never leads', () => {
  const bench = new GroupBench({witnesses: ['n3']});
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  const [second] = others(bench, first, 'n3') as [string];
  bench.peers.cut(first, second);
  const key = bench.propose(first);
  bench.clock.advance(50);
  assert.deepEqual(bench.keysOf(first), [key]);
  bench.kill(first);
  assert.equal(bench.awaitLeader(first), second);
  assert.deepEqual(bench.keysOf(second), [key]);
  assert.notInclude([...bench.leaders.values()], 'n3');
});

test('the log stays bounded during a long outage of a member', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  const [isolated] = others(bench, leader) as [string];
  bench.peers.isolate(isolated);
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
  assert.deepEqual(bench.keysOf(isolated), [key]);
  assert.isBelow(bench.replica(leader).status.retained, 10);
});

// Guards against electing a member that is about to stop, which would require
// another election soon after.
test('a member that handed over its leadership is not elected again', () => {
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

test('invalid messages and messages of non-members are ignored', () => {
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
  const invalid = {...vote, lastIndex: 'last'};
  bench.peers.forge(member, leader, 'group.arbat', invalid);
  bench.peers.forge('n9', leader, 'group.arbat', vote);
  assert.equal(bench.replica(leader).leadingEpoch, epoch);
  // The same message is handled if it is valid and comes from a member.
  bench.peers.forge(member, leader, 'group.arbat', vote);
  assert.isUndefined(bench.replica(leader).leadingEpoch);
});
