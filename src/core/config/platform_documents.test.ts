import {assert} from 'chai';
import type {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import {createPlatformConfigBench} from '../../../test-support/fakes/create_platform_config_bench.js';

/** Shortest time of a deployment in which a document must be in force. */
const APPLY_MS = 2_000;
const LONGEST_APPLY_MS = 2_500;
/** Time until a silent connection is noticed and opened again. */
const SILENCE_MS = 2_400;
/** Time after a fault of the core after which a calm node is in touch. */
const CONTACT_MS = 4_000;
/** Time that a replaced machine is given before the next loss. */
const CATCH_UP_MS = 6_000;

const document = (revision: number) => ({
  kind: 'publish' as const,
  document: {revision, content: `content ${revision}`},
});

function revisionAt(bench: ConfigBench, node: string): number {
  return bench.node(node).source.current().document?.revision ?? 0;
}

function membersOf(bench: ConfigBench) {
  return bench.node(bench.waitForLeader()).logMember!.store.members;
}

function votersOf(bench: ConfigBench): string[] {
  return membersOf(bench).voters.map(m => m.node);
}

/** Starts six core nodes, waits for five voters and publishes revision 1. */
function createBench(seed: number): ConfigBench {
  const bench = createPlatformConfigBench({seed, followers: 3});
  bench.startAll();
  bench.waitUntil('five voters', () => votersOf(bench).length === 5, 10_000);
  bench.clock.advance(5_000 + 97 * seed);
  assert.propertyVal(bench.request('v1', document(1)), 'kind', 'accepted');
  bench.clock.advance(5_000);
  return bench;
}

function sixthNodeOf(bench: ConfigBench): string {
  return [...bench.disks.keys()].find(id => !votersOf(bench).includes(id))!;
}

/** Longest time until a document is in force at a node that misses its push. */
function maxDelayAfterLostPush(pick: (bench: ConfigBench) => string): number {
  const bench = createBench(1);
  const node = pick(bench);
  const leader = bench.waitForLeader();
  const delays = Array.from({length: 100}, (_, index) => {
    const revision = index + 2;
    bench.clock.advance(1_000 + bench.random.integerBelow(3_000));
    bench.peers.cut(leader, node);
    assert.propertyVal(
      bench.request(leader, document(revision)),
      'kind',
      'accepted',
    );
    bench.peers.heal();
    return bench.waitUntil(
      `revision ${revision}`,
      () => revisionAt(bench, node) === revision,
    );
  });
  return Math.max(...delays);
}

/**
 * Loses a voter and the only spare node at once, just after the spare's poll, so
 * that its poll is still recent when the voter has been silent for long enough.
 */
function loseVoterAndSpare(bench: ConfigBench): {voter: string; spare: string} {
  const leader = bench.waitForLeader();
  const voter = votersOf(bench).find(id => id !== leader)!;
  const spare = sixthNodeOf(bench);
  bench.waitUntil('a poll of the spare', () => {
    const status = bench.node(leader).status(bench.clock.now());
    return status.in_force.some(f => f.node === spare && f.age_ms < 500);
  });
  bench.crashAndWipe(voter);
  bench.crashAndWipe(spare);
  return {voter, spare};
}

// An entry node learns of the document with its next poll only.
test('an entry node that misses a push has the document in time', () => {
  assert.isBelow(
    maxDelayAfterLostPush(() => 'f1'),
    APPLY_MS,
  );
});

test('a core node without a vote that misses a push has the document in time', () => {
  assert.isBelow(maxDelayAfterLostPush(sixthNodeOf), APPLY_MS);
});

// A connection with a message a second that goes silent is noticed after 2.4 s.
// Until then the push and the replies to polls are lost, later than a calm node
// may be behind.
test('a document is in force in time beside a connection that went silent', () => {
  const late: string[] = [];
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    const leader = bench.waitForLeader();
    bench.peers.cut(leader, 'f1');
    bench.clock.advance(CONTACT_MS - LONGEST_APPLY_MS + 20);
    assert.propertyVal(bench.request(leader, document(2)), 'kind', 'accepted');
    bench.clock.schedule(SILENCE_MS + LONGEST_APPLY_MS - CONTACT_MS - 30, () =>
      bench.peers.heal(),
    );
    bench.clock.advance(LONGEST_APPLY_MS);
    if (revisionAt(bench, 'f1') !== 2) late.push(`seed ${seed}`);
  }
  assert.isEmpty(late);
});

// The push of the next leader is the only message to nodes outside the log. A
// leader that has just been started does not know the entry nodes.
test('a document outlives its leader at entry nodes that the next does not know', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    const leader = bench.waitForLeader();
    bench.unknownTo = () => ['f1', 'f2', 'f3'];
    const pending = bench.submit(leader, document(2));
    bench.waitUntil('an answer', () => pending.answer !== undefined);
    bench.crash(leader);
    bench.clock.advance(CONTACT_MS);
    for (const node of ['f1', 'f2', 'f3']) {
      assert.equal(revisionAt(bench, node), 2, `${node}, seed ${seed}`);
    }
  }
});

// Members poll every 6 s, and a former member keeps its last interval.
test('a core node that lost its vote while it was cut off catches up', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    const leader = bench.waitForLeader();
    const node = votersOf(bench).find(id => id !== leader)!;
    bench.peers.isolate([node], bench.ids);
    bench.waitUntil('a replacement', () => !votersOf(bench).includes(node));
    bench.request(leader, document(2));
    bench.peers.heal();
    bench.clock.advance(CONTACT_MS);
    assert.equal(revisionAt(bench, node), 2, `${node}, seed ${seed}`);
  }
});

test('a core node that lost its vote learns of the next leader', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    const leader = bench.waitForLeader();
    const node = votersOf(bench).find(id => id !== leader)!;
    bench.peers.isolate([node], bench.ids);
    bench.waitUntil('a replacement', () => !votersOf(bench).includes(node));
    bench.crash(leader);
    bench.request(bench.waitForLeader(), document(2));
    bench.clock.advance(CONTACT_MS);
    bench.peers.heal();
    bench.clock.advance(CONTACT_MS);
    assert.equal(revisionAt(bench, node), 2, `${node}, seed ${seed}`);
  }
});

// A former voter answers polls with its own document and the leader that it knew,
// and the new node then asks that leader twice.
test('a new core node that asks a former voter first learns of the next leader', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    const leader = bench.waitForLeader();
    const former = votersOf(bench).find(id => id !== leader)!;
    bench.peers.isolate([former], bench.ids);
    bench.waitUntil('a replacement', () => !votersOf(bench).includes(former));
    bench.crash(leader);
    bench.request(bench.waitForLeader(), document(2));
    bench.clock.advance(CONTACT_MS);
    bench.peers.heal();
    bench.unknownTo = id =>
      id === 's11' ? bench.ids.filter(other => other !== former) : [];
    bench.addMachine('s11');
    bench.clock.advance(50);
    bench.unknownTo = () => [];
    bench.clock.advance(CONTACT_MS);
    assert.equal(revisionAt(bench, 's11'), 2, `seed ${seed}`);
  }
});

// The push leaves out every node that has a member, also under a former disk.
test('a node whose disk was lost is pushed to while its vote is not replaced', () => {
  const bench = createBench(1);
  const leader = bench.waitForLeader();
  const {voter, spare} = loseVoterAndSpare(bench);
  // The replacement of another voter is in progress and cannot go on.
  const old = votersOf(bench).find(id => id !== leader && id !== voter)!;
  const request = {op: 'replace', old, next: spare} as const;
  bench.submit(leader, {kind: 'members', request});
  bench.start(voter);
  bench.clock.advance(1_000);
  assert.equal(membersOf(bench).replacing?.next.node, spare);
  bench.request(leader, document(2));
  bench.clock.advance(50);
  assert.equal(revisionAt(bench, voter), 2);
});

// The replacement of the voter by the lost spare is never given up.
test('five voters are left after a voter and the sixth node are replaced', () => {
  const bench = createBench(1);
  loseVoterAndSpare(bench);
  bench.clock.advance(CATCH_UP_MS);
  bench.addMachine('s11');
  bench.addMachine('s12');
  bench.clock.advance(2 * CATCH_UP_MS);
  const {replacing} = membersOf(bench);
  assert.isUndefined(replacing, JSON.stringify(replacing));
  const running = votersOf(bench).filter(id => bench.running.has(id));
  assert.lengthOf(running, 5);
});

// The first of the two that is replaced may have polled a moment before its loss,
// and then counts as a spare node for the second.
test('a lost voter that was replaced is no spare for the next one', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    const leader = bench.waitForLeader();
    const lost = votersOf(bench).filter(id => id !== leader);
    for (const id of lost.slice(0, 2)) bench.crashAndWipe(id);
    bench.clock.advance(CATCH_UP_MS);
    bench.addMachine('s11');
    bench.addMachine('s12');
    bench.clock.advance(2 * CATCH_UP_MS);
    const running = votersOf(bench).filter(id => bench.running.has(id));
    assert.lengthOf(running, 5, `seed ${seed}`);
  }
});

test('a document is read after two losses of two machines each', () => {
  const bench = createBench(1);
  const leader = bench.waitForLeader();
  loseVoterAndSpare(bench);
  bench.clock.advance(CATCH_UP_MS);
  bench.addMachine('s11');
  bench.addMachine('s12');
  bench.clock.advance(2 * CATCH_UP_MS);
  const next = votersOf(bench).filter(
    id => id !== leader && bench.running.has(id),
  );
  for (const id of next.slice(0, 2)) bench.crashAndWipe(id);
  for (const id of next.slice(0, 2)) bench.start(id);
  bench.clock.advance(2 * CATCH_UP_MS);
  const answer = bench.request(leader, {kind: 'read'});
  assert.deepInclude(answer, {kind: 'config'});
});

test('a replacement goes on with another node if its node is lost', () => {
  const bench = createBench(1);
  const leader = bench.waitForLeader();
  const first = votersOf(bench).find(id => id !== leader);
  // It comes back with an empty disk and is lost for good as soon as the
  // replacement of its vote has begun.
  bench.crashAndWipe(first!);
  bench.start(first!);
  bench.waitUntil('a replacement', () => {
    const {replacing} = membersOf(bench);
    return replacing?.next.node === first;
  });
  bench.crashAndWipe(first!);
  bench.addMachine('s11');
  bench.clock.advance(2 * CATCH_UP_MS);
  assert.notInclude(votersOf(bench), first);
  assert.isUndefined(membersOf(bench).replacing);
  assert.lengthOf(votersOf(bench), 5);
});

test('a document is in force after all core processes are killed with its answer', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    const pending = bench.submit(bench.waitForLeader(), document(2));
    bench.waitUntil('an answer', () => pending.answer !== undefined);
    const core = [...bench.disks.keys()];
    for (const id of core) bench.kill(id);
    // A started process learns of entry nodes from their presence messages.
    bench.unknownTo = () => ['f1', 'f2', 'f3'];
    bench.clock.advance(900);
    for (const id of core) bench.start(id);
    bench.clock.advance(CONTACT_MS);
    for (const id of bench.ids) {
      assert.equal(revisionAt(bench, id), 2, `${id}, seed ${seed}`);
    }
  }
});

// The fallbacks of the zones serve with what the entry nodes have while all core
// processes are down.
test('an acknowledged document is in force at all nodes that can be reached', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const bench = createBench(seed);
    bench.peers.maxDelayMs = 40;
    const pending = bench.submit(bench.waitForLeader(), document(2));
    bench.waitUntil('an answer', () => pending.answer !== undefined);
    for (const id of [sixthNodeOf(bench), 'f1', 'f2', 'f3']) {
      assert.equal(revisionAt(bench, id), 2, `${id}, seed ${seed}`);
    }
  }
});

// Operators turn to another node after a second.
test('an unreachable node delays one acknowledgement, for a short time', () => {
  const bench = createBench(1);
  const leader = bench.waitForLeader();
  bench.peers.isolate(['f1'], bench.ids);
  const delays = [2, 3, 4].map(revision => {
    const pending = bench.submit(leader, document(revision));
    return bench.waitUntil('an answer', () => pending.answer !== undefined);
  });
  assert.isBelow(delays[0]!, 500);
  assert.isBelow(delays[1]!, 100);
  assert.isBelow(delays[2]!, 100);
});

test('a change is acknowledged although its leader loses its leadership', () => {
  const bench = createBench(1);
  const leader = bench.waitForLeader();
  bench.peers.isolate(['f1'], bench.ids);
  const pending = bench.submit(leader, document(2));
  bench.waitUntil('the document', () => revisionAt(bench, leader) === 2);
  assert.isUndefined(pending.answer);
  bench.node(leader).transferLeadership(bench.clock.now());
  bench.waitUntil('an answer', () => pending.answer !== undefined, 500);
  assert.propertyVal(pending.answer, 'kind', 'accepted');
});
