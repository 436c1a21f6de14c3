import {assert} from 'chai';
import type {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import {createPlatformConfigBench} from '../../../test-support/fakes/create_platform_config_bench.js';

/** Longer than CATCH_UP_MS, shorter than the election timeout. */
const LATE_MS = 200;
const ELECTION_LIMIT_MS = 10_000;
const STEP_DOWN_LIMIT_MS = 2_000;
const SEEDS = [1, 2, 3, 4, 5];

/** Starts six core nodes, waits for five voters and publishes `content`. */
function createBench(
  seed: number,
  {followers = 3, content = 'content'} = {},
): ConfigBench {
  const bench = createPlatformConfigBench({seed, followers});
  bench.startAll();
  bench.waitUntil(
    'five voters',
    () =>
      bench.node(bench.waitForLeader()).logMember!.store.members.voters
        .length === 5,
    10_000,
  );
  publish(bench, 1, content);
  bench.clock.advance(5_000);
  return bench;
}

function publish(bench: ConfigBench, revision: number, content: string): void {
  const leader = bench.waitForLeader();
  const document = {revision, content};
  const answer = bench.request(leader, {kind: 'publish', document});
  assert.propertyVal(answer, 'kind', 'accepted');
}

/** Runs the event loop of a node once in each `LATE_MS`. */
function makeLate(bench: ConfigBench, node: string): void {
  bench.loops.get(node)!.lag(() => LATE_MS);
}

// Each late tick prolongs the time in which no election begins. Without CATCH_UP_MS,
// no leader lasts either: its first replies come after the election timeout.
test('nodes whose ticks are always late elect a leader', () => {
  const failed = SEEDS.filter(seed => {
    const bench = createBench(seed);
    const lost = bench.waitForLeader();
    for (const id of bench.disks.keys()) makeLate(bench, id);
    bench.kill(lost);
    bench.clock.advance(ELECTION_LIMIT_MS);
    return bench.leader === undefined;
  });
  assert.isEmpty(failed, `no leader with the seeds ${failed.join()}`);
});

// A deposed leader that goes on answers that it leads, and holds requests that it
// can't complete.
test('a leader whose ticks are always late steps down without a majority', () => {
  const failed = SEEDS.filter(seed => {
    const bench = createBench(seed);
    const cut = bench.waitForLeader();
    makeLate(bench, cut);
    bench.clock.advance(1_000);
    if (bench.node(cut).logMember!.leader === undefined) return false;
    bench.peers.isolate([cut], bench.ids);
    bench.clock.advance(STEP_DOWN_LIMIT_MS);
    return bench.node(cut).logMember!.leader !== undefined;
  });
  assert.isEmpty(failed, `still leads with the seeds ${failed.join()}`);
});

// Its heartbeats keep the others from electing a leader that can commit something.
test('a leader whose ticks are always late and that hears nothing is replaced', () => {
  const failed = SEEDS.filter(seed => {
    const bench = createBench(seed);
    const cut = bench.waitForLeader();
    makeLate(bench, cut);
    for (const id of bench.ids) bench.peers.cut(id, cut);
    bench.clock.advance(ELECTION_LIMIT_MS);
    return bench.leader === undefined || bench.leader === cut;
  });
  assert.isEmpty(failed, `not replaced with the seeds ${failed.join()}`);
});

// The whole configuration to each node at each change of the leader holds up a
// machine on which leaders change because it is overloaded.
test('a new leader does not send the configuration to nodes that have it', () => {
  const content = 'x'.repeat(50_000);
  const bench = createBench(1, {followers: 38, content});
  const first = bench.waitForLeader();
  const before = total(bench.peers.bytes);
  bench.run(first, (node, now) => node.transferLeadership(now));
  bench.waitUntil(
    'another leader',
    () => bench.leader !== undefined && bench.leader !== first,
  );
  bench.clock.advance(1_000);
  const sent = total(bench.peers.bytes) - before;
  assert.isBelow(sent, 10 * content.length);
});

// After a stall, all voters seem silent until their replies are read, and count as
// nodes to which the log is not replicated.
test('a leader that was held up sends no configuration to voters', () => {
  const content = 'x'.repeat(50_000);
  const sent = SEEDS.flatMap(seed => {
    const bench = createBench(seed, {followers: 3, content});
    const leader = bench.waitForLeader();
    const before = total(bench.peers.bytes);
    bench.loops.get(leader)!.stall(420);
    bench.clock.advance(1_000);
    // A new leader is the subject of the test above.
    return bench.leader === leader ? [total(bench.peers.bytes) - before] : [];
  });
  assert.isNotEmpty(sent);
  assert.isBelow(Math.max(...sent), content.length);
});

function total(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
