import {assert} from 'chai';
import type {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import {createPlatformConfigBench} from '../../../test-support/fakes/create_platform_config_bench.js';
import {overloadLagMs} from '../../../test-support/fakes/overload_lag_ms.js';
import type {Cancellable} from '../clock/cancellable.js';

/** Time in which a machine that came back or was replaced must have caught up. */
const CATCH_UP_MS = 6_000;
/** A voter that is gone is replaced after 3 s of silence, and then has to be copied. */
const REPLACE_MS = 8_000;
const MAX_STALL_MS = 500;
const SUSPENSION_MS = 7_000;
/** More than three times as long as a machine counts as lost after it is back. */
const OVERLOAD_GAP_MS = 20_000;
const RECOVERY_MS = 15_000;
const SEEDS = Array.from({length: 20}, (_, index) => index + 1);

const document = (revision: number) => ({
  kind: 'publish' as const,
  document: {revision, content: `content ${revision}`},
});

function memberOf(bench: ConfigBench, node: string) {
  return bench.node(node).logMember!;
}

function votersOf(bench: ConfigBench) {
  return memberOf(bench, bench.waitForLeader()).store.members.voters;
}

/** Voters whose process runs with the disk that has the vote. */
function soundVotersOf(bench: ConfigBench): string[] {
  return votersOf(bench)
    .filter(v => bench.running.get(v.node)?.logMember?.id.storage === v.storage)
    .map(v => v.node);
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

function otherVoterOf(bench: ConfigBench, leader: string): string {
  const others = votersOf(bench).filter(v => v.node !== leader);
  return others[bench.random.integerBelow(others.length)]!.node;
}

/** Makes another node the leader after each interval. */
function changeLeaders(bench: ConfigBench, intervalMs: () => number): void {
  bench.clock.schedule(intervalMs(), () => {
    const {leader} = bench;
    if (leader !== undefined) {
      bench.run(leader, (node, now) => node.transferLeadership(now));
    }
    changeLeaders(bench, intervalMs);
  });
}

/** Holds each leader up, so that the others elect another one. */
function stallLeaders(bench: ConfigBench): void {
  bench.clock.schedule(600 + bench.random.next() * 900, () => {
    const {leader} = bench;
    if (leader !== undefined) bench.loops.get(leader)!.stall(1_000);
    stallLeaders(bench);
  });
}

/** Seeds after which a voter is not replaced in time, with the voters then. */
function findUnreplaced(
  lose: (bench: ConfigBench, voter: string) => void,
  change: (bench: ConfigBench) => void,
  limitMs: number,
): string[] {
  return SEEDS.flatMap(seed => {
    const bench = createBench(seed);
    change(bench);
    bench.clock.advance(3_000);
    lose(bench, otherVoterOf(bench, bench.waitForLeader()));
    bench.clock.advance(limitMs);
    const sound = soundVotersOf(bench);
    return sound.length === 5 ? [] : [`seed ${seed}: ${sound.join()}`];
  });
}

function wipe(bench: ConfigBench, voter: string): void {
  bench.crashAndWipe(voter);
  bench.start(voter);
}

// A lost disk is noticed by a poll that reaches the leader only; with two such
// voters, the next two lost disks leave no majority.
test('a voter with an empty disk is replaced although leaders change each second', () => {
  const changeEachSecond = (bench: ConfigBench) =>
    changeLeaders(bench, () => 1_000);
  const late = findUnreplaced(wipe, changeEachSecond, CATCH_UP_MS);
  assert.isEmpty(late, late.join('\n'));
});

test('a voter with an empty disk is replaced while each leader is held up', () => {
  const late = findUnreplaced(wipe, stallLeaders, CATCH_UP_MS);
  assert.isEmpty(late, late.join('\n'));
});

// The silence of a voter begins anew with each leadership.
test('a voter that is gone is replaced although leaders change each second', () => {
  const late = findUnreplaced(
    (bench, voter) => bench.crashAndWipe(voter),
    bench => changeLeaders(bench, () => 1_000),
    REPLACE_MS,
  );
  assert.isEmpty(late, late.join('\n'));
});

/**
 * Loses the disks of two voters, whose processes are back after a second. There may
 * be no leader; the voters are those of the longest log.
 */
function wipeTwo(
  bench: ConfigBench,
  but: readonly string[],
  start: (id: string) => void,
): string[] {
  const members = [...bench.running.values()].flatMap(n => n.logMember ?? []);
  const [longest] = members.toSorted(
    (x, y) => y.store.lastIndex - x.store.lastIndex,
  );
  const lost = longest!.store.members.voters
    .map(v => v.node)
    .filter(id => !but.includes(id))
    .slice(0, 2);
  for (const id of lost) bench.crashAndWipe(id);
  bench.clock.advance(1_000);
  for (const id of lost) start(id);
  return lost;
}

// The replacement needs several steps, each of which waits for late event loops,
// and no leader was there for long enough.
test('a document is read after four disks, two at a time, on an overloaded machine', () => {
  const unread = SEEDS.filter(seed => {
    const bench = createBench(seed);
    const lags: Cancellable[] = [];
    const overload = (id: string) => {
      const draw = () => overloadLagMs(bench.random);
      lags.push(bench.loops.get(id)!.lag(draw));
    };
    const start = (id: string) => {
      bench.start(id);
      overload(id);
    };
    for (const id of bench.ids) overload(id);
    const first = wipeTwo(bench, [], start);
    bench.clock.advance(OVERLOAD_GAP_MS);
    const second = wipeTwo(bench, first, start);
    assert.lengthOf([...first, ...second], 4);
    bench.clock.advance(CATCH_UP_MS);
    for (const lag of lags) lag.cancel();
    bench.clock.advance(RECOVERY_MS);
    return !isReadable(bench);
  });
  assert.isEmpty(unread, `seeds ${unread.join()}`);
});

function isReadable(bench: ConfigBench): boolean {
  const pending = bench.submit('v1', {kind: 'read'});
  bench.clock.advance(CATCH_UP_MS);
  const {answer} = pending;
  if (!answer || !('config' in answer)) return false;
  return answer.config.document?.revision === 1;
}

// Its presence messages arrive, so that only the short silence since the beginning of
// each leadership counts.
test('a voter that hears nothing is replaced although leaders change each second', () => {
  const late = SEEDS.filter(seed => {
    const bench = createBench(seed);
    changeLeaders(bench, () => 1_000);
    bench.clock.advance(3_000);
    const deaf = otherVoterOf(bench, bench.waitForLeader());
    for (const id of bench.ids) bench.peers.cut(id, deaf);
    bench.clock.advance(REPLACE_MS);
    return votersOf(bench).some(v => v.node === deaf);
  });
  assert.isEmpty(late, `still a voter with the seeds ${late.join()}`);
});

// The replies of the others wait unread in the loop that was held up.
test('a leader whose loop is held up keeps its leadership if no election began', () => {
  let played = 0;
  const lost = Array.from({length: 60}, (_, index) => index + 1).flatMap(
    seed => {
      const bench = createBench(seed);
      const leader = bench.waitForLeader();
      const {term} = memberOf(bench, leader);
      let isElectionDue = false;
      bench.loops.get(leader)!.stall(MAX_STALL_MS);
      // Until then the next heartbeat has reached the others.
      for (let ms = 0; ms < MAX_STALL_MS + 5; ms += 5) {
        bench.clock.advance(5);
        isElectionDue ||= [...bench.running]
          .filter(([id]) => id !== leader)
          .some(([, node]) => node.logMember?.role === 'candidate');
      }
      if (isElectionDue) return [];
      played += 1;
      bench.clock.advance(1_000);
      const isKept =
        bench.leader === leader && memberOf(bench, leader).term === term;
      return isKept ? [] : [`seed ${seed}`];
    },
  );
  assert.isAbove(played, 10);
  assert.isEmpty(lost, `${lost.length} of ${played}: ${lost.join()}`);
});

// Without it, seven leaders followed each other within a minute.
test('a leader lasts although all event loops are often held up', () => {
  const terms = [1, 2, 3, 4, 5, 6].map(seed => {
    const bench = createBench(seed);
    const {term} = memberOf(bench, bench.waitForLeader());
    for (const id of bench.ids) {
      const draw = () => Math.max(1, overloadLagMs(bench.random) / 2);
      bench.loops.get(id)!.lag(draw);
    }
    bench.clock.advance(60_000);
    const members = [...bench.running.values()].map(node => node.logMember);
    return Math.max(...members.map(member => member?.term ?? 0)) - term;
  });
  assert.deepEqual(terms, [0, 0, 0, 0, 0, 0]);
});

// The heartbeats of the leader wait unread in the loop that was held up.
test('a follower whose loop is held up starts no election beside a live leader', () => {
  const started = SEEDS.flatMap(seed => {
    const bench = createBench(seed);
    const leader = bench.waitForLeader();
    const voter = otherVoterOf(bench, leader);
    const {id} = memberOf(bench, voter);
    let votes = 0;
    bench.peers.copyDelay = (kind, body) => {
      const {from} = body as {from?: string};
      if (kind === 'config.vote' && from === id.storage) votes += 1;
      return undefined;
    };
    let isCandidate = false;
    bench.loops.get(voter)!.stall(1_000);
    // Runs after the tick that has become due, before all heartbeats.
    bench.run(voter, node => {
      isCandidate = node.logMember!.role === 'candidate';
    });
    bench.clock.advance(2_000);
    assert.equal(bench.leader, leader);
    if (votes === 0 && !isCandidate) return [];
    return [`seed ${seed}: candidate, ${votes} vote requests`];
  });
  assert.isEmpty(started, started.join('\n'));
});

/**
 * Holds a leader up for 7 s with an entry that only it has, and with requests that
 * it hasn't read. Another leader accepts a newer document meanwhile.
 */
function holdUpLeader(seed: number, isClockStopped: boolean) {
  const bench = createBench(seed);
  const former = bench.waitForLeader();
  const {term} = memberOf(bench, former);
  bench.peers.isolate([former], bench.ids);
  const atAnswers: string[] = [];
  // The router asks the next leader again, which takes an older document as
  // overtaken. An answer of the former leader itself comes in its own term.
  const onAnswer: Parameters<ConfigBench['submit']>[2] = answer => {
    // The router refuses what has passed its deadline.
    if (!('kind' in answer)) return;
    const member = memberOf(bench, former);
    if (member.leader || member.term === term) {
      atAnswers.push(`${answer.kind} in term ${member.term}`);
    }
  };
  bench.submit(former, document(2), onAnswer);
  const earlyRead = bench.submit(former, {kind: 'read'}, onAnswer);
  bench.clock.advance(10);
  const loop = bench.loops.get(former)!;
  if (isClockStopped) loop.suspend(SUSPENSION_MS);
  else loop.stall(SUSPENSION_MS);
  const endsAt = bench.clock.now() + SUSPENSION_MS;
  bench.peers.heal();
  bench.submit(former, document(3), onAnswer);
  const lateRead = bench.submit(former, {kind: 'read'}, onAnswer);
  bench.clock.advance(CATCH_UP_MS / 2);
  const next = [...bench.running].find(
    ([id, node]) => id !== former && node.logMember?.leader,
  )![0];
  assert.propertyVal(bench.request(next, document(9)), 'kind', 'accepted');
  bench.clock.advance(endsAt - bench.clock.now() - 1);
  assert.equal(memberOf(bench, former).term, term);
  return {
    bench,
    former,
    term,
    atAnswers,
    reads: [earlyRead, lateRead],
  };
}

for (const isClockStopped of [false, true]) {
  const kind = isClockStopped ? 'suspended' : 'stalled';
  test(`a ${kind} leader answers no request from before and gives up at once`, () => {
    for (const seed of SEEDS) {
      const held = holdUpLeader(seed, isClockStopped);
      const {bench, former, term, atAnswers, reads} = held;
      for (let ms = 0; ms < 100; ms += 1) {
        bench.clock.advance(1);
        const member = memberOf(bench, former);
        const isGivenUp = member.leader === undefined;
        const mustGiveUp = ms >= 2 || member.term > term;
        if (mustGiveUp) assert.isTrue(isGivenUp, `${ms} ms, seed ${seed}`);
      }
      bench.clock.advance(CATCH_UP_MS + 1_000);
      assert.isEmpty(atAnswers, `seed ${seed}: ${atAnswers.join()}`);
      for (const id of bench.ids) {
        const {revision} = bench.node(id).source.current().document!;
        assert.equal(revision, 9, `${id}, seed ${seed}`);
      }
      for (const {answer} of reads) {
        if (!answer || !('config' in answer)) continue;
        assert.equal(answer.config.document?.revision, 9, `seed ${seed}`);
      }
    }
  });
}
