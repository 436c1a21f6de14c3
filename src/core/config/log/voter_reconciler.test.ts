import {assert} from 'chai';
import {createPlatformConfigBench} from '../../../../test-support/fakes/create_platform_config_bench.js';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';
import type {LogMember} from './log_member.js';
import {LogTiming} from './log_timing.js';
import type {MembershipRequest} from './membership_request.js';
import {VoterReconciler} from './voter_reconciler.js';

function votersOf(bench: ConfigBench): string[] {
  const {members} = bench.node(bench.waitForLeader()).logMember!.store;
  return members.voters.map(m => m.node).sort();
}

const document = (revision: number) => ({
  kind: 'publish' as const,
  document: {revision, content: `content ${revision}`},
});

test('voters are added up to the target number and no further', () => {
  const bench = new ConfigBench({spares: 3, voterTarget: 5});
  bench.startAll();
  bench.waitUntil('five voters', () => votersOf(bench).length === 5, 10_000);
  bench.clock.advance(10_000);
  assert.lengthOf(votersOf(bench), 5);
});

test('an accepted document survives the loss of two of five disks', () => {
  const bench = new ConfigBench({spares: 2, voterTarget: 5, seed: 3});
  bench.startAll();
  assert.propertyVal(bench.request('f1', document(7)), 'kind', 'accepted');
  // Five voters tolerate the simultaneous loss of any two disks.
  const [first, second] = bench.voters;
  bench.crashAndWipe(first!);
  bench.crashAndWipe(second!);
  bench.start(first!);
  bench.start(second!);
  bench.waitUntil('the document is read', () => {
    const answer = bench.request('f1', {kind: 'read'});
    return 'config' in answer && answer.config.document?.revision === 7;
  });
});

// Waiting for the target number of voters would block all documents forever.
test('documents are accepted if too few nodes exist for the target', () => {
  const bench = new ConfigBench({voterTarget: 5});
  bench.startAll();
  bench.clock.advance(6_000);
  assert.propertyVal(bench.request('f1', document(1)), 'kind', 'accepted');
});

test('a lost voter is replaced within 10 s', () => {
  for (const target of ['leader', 'other']) {
    const bench = new ConfigBench({spares: 1, voterTarget: 3});
    bench.startAll();
    const leader = bench.waitForLeader();
    bench.clock.advance(3_000);
    const lost =
      target === 'leader' ? leader : bench.voters.find(id => id !== leader)!;
    bench.crashAndWipe(lost);
    const tookMs = bench.waitUntil(
      'a new voter',
      () => votersOf(bench).includes('s1') && !votersOf(bench).includes(lost),
      15_000,
    );
    assert.isBelow(tookMs, 10_000);
    assert.lengthOf(votersOf(bench), 3);
  }
});

test('a voter that restarts within a second is not replaced', () => {
  const bench = new ConfigBench({spares: 1, voterTarget: 3});
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.clock.advance(3_000);
  const other = bench.voters.find(id => id !== leader)!;
  bench.kill(other);
  bench.clock.advance(1_000);
  bench.start(other);
  bench.clock.advance(10_000);
  assert.deepEqual(votersOf(bench), [...bench.voters].sort());
});

// With most voters in one zone, losing that zone would lose the majority.
test('voters are spread over the zones', () => {
  const zones: Record<string, string> = {
    v1: 'a',
    v2: 'a',
    v3: 'b',
    s1: 'a',
    s2: 'b',
    s3: 'c',
  };
  const bench = new ConfigBench({
    spares: 3,
    voterTarget: 5,
    zoneOf: node => zones[node],
  });
  bench.startAll();
  const isSpread = () => {
    const voters = votersOf(bench);
    return (
      voters.length === 5 && voters.includes('s2') && voters.includes('s3')
    );
  };
  bench.waitUntil('voters in all zones', isSpread, 20_000);
  bench.clock.advance(5_000);
  assert.isTrue(isSpread());
});

test('a lost voter is replaced by an empty node with another id', () => {
  const bench = new ConfigBench({spares: 1, voterTarget: 3, seed: 5});
  bench.startAll();
  bench.clock.advance(3_000);
  assert.propertyVal(bench.request('f1', document(4)), 'kind', 'accepted');
  bench.crashAndWipe('v1');
  bench.waitUntil(
    'v1 is replaced',
    () => !votersOf(bench).includes('v1') && votersOf(bench).length === 3,
    15_000,
  );
  // Another disk is lost right after the replacement.
  bench.crashAndWipe('v2');
  bench.waitUntil('the document is read', () => {
    const answer = bench.request('f1', {kind: 'read'});
    return 'config' in answer && answer.config.document?.revision === 4;
  });
});

// A new leader knew a spare node only from a poll in its own term, and the spare had
// nothing of the log, so that a lost voter was replaced late or not at all.
test('nodes that are not needed as voters have the log as learners', () => {
  const bench = createPlatformConfigBench({seed: 1, followers: 1});
  bench.startAll();
  const members = () =>
    bench.node(bench.waitForLeader()).logMember!.store.members;
  bench.waitUntil('six members', () => members().learners.length === 1, 10_000);
  bench.request('v1', {
    kind: 'publish',
    document: {revision: 1, content: 'content'},
  });
  bench.clock.advance(200);
  assert.lengthOf(members().voters, 5);
  const {logMember} = bench.node(members().learners[0]!.node);
  assert.equal(logMember!.state!.current.document?.revision, 1);
});

// The second one had to wait until the first was replaced, which takes seconds on an
// overloaded machine.
test('two voters with lost folders catch up at the same time', () => {
  const bench = createPlatformConfigBench({seed: 1, followers: 1});
  bench.startAll();
  const members = () =>
    bench.node(bench.waitForLeader()).logMember!.store.members;
  bench.waitUntil('five voters', () => members().voters.length === 5, 10_000);
  const leader = bench.waitForLeader();
  const others = members().voters.filter(({node}) => node !== leader);
  const lost = others.slice(0, 2).map(({node}) => node);
  for (const id of lost) bench.crashAndWipe(id);
  for (const id of lost) bench.start(id);
  bench.waitUntil(
    'both as learners',
    () => lost.every(id => members().learners.some(({node}) => node === id)),
    2_000,
  );
  assert.isDefined(members().replacing);
});

// The node would be a voter twice, once with the folder that it has lost.
test('a learner at the node of a lost voter does not replace another voter', () => {
  const now = 100_000;
  const id = (node: string, storage = `${node}1`) => ({node, storage});
  const requests: MembershipRequest[] = [];
  const silent = id('d');
  const member = {
    term: 1,
    id: id('c'),
    timing: LogTiming,
    store: {
      members: {
        voters: [id('a', 'a0'), id('b'), id('c'), silent, id('e')],
        learners: [id('a')],
      },
    },
    leader: {
      hasCommittedInTerm: true,
      membership: {request: (req: MembershipRequest) => requests.push(req)},
      progressOf: ({node}: {node: string}) => ({
        hasReplied: true,
        lastContactAt: node === silent.node ? now - 5_000 : now,
      }),
    },
  };
  const reconciler = new VoterReconciler({
    voterTarget: 5,
    nodesWithStorage: () => [],
    zoneOf: () => undefined,
  });
  for (let at = now - 4_000; at <= now; at += 100) {
    reconciler.tick(member as unknown as LogMember, at);
  }
  assert.isEmpty(requests);
});
