import {assert} from 'chai';
import fc from 'fast-check';
import {GroupBench} from '../../../test-support/fakes/group_bench.js';

const MAX_SPAN_MS = 1_500;
const SETTLE_MS = 30_000;

const node = fc.nat({max: 4});
const step = fc.record({
  act: fc.oneof(
    {weight: 2, arbitrary: fc.record({kind: fc.constant('restart'), node})},
    {weight: 1, arbitrary: fc.record({kind: fc.constant('kill'), node})},
    {weight: 2, arbitrary: fc.record({kind: fc.constant('isolate'), node})},
    {
      weight: 2,
      arbitrary: fc.record({kind: fc.constant('cut'), node, other: node}),
    },
    {weight: 2, arbitrary: fc.record({kind: fc.constant('heal')})},
    {weight: 1, arbitrary: fc.record({kind: fc.constant('hand over')})},
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('network'),
        loss: fc.constantFrom(0, 0.05, 0.3),
        jitterMs: fc.constantFrom(0, 5, 100),
      }),
    },
    {weight: 3, arbitrary: fc.record({kind: fc.constant('wait')})},
  ),
  spanMs: fc.nat({max: MAX_SPAN_MS}),
});

type Act = {
  readonly kind: string;
  readonly node?: number;
  readonly other?: number;
  readonly loss?: number;
  readonly jitterMs?: number;
};

interface ChaosOptions {
  /**
   * Whether members are stopped only while the others keep a voting majority.
   */
  readonly keepsMajority: boolean;
}

function mayStop(bench: GroupBench, id: string, opts: ChaosOptions): boolean {
  if (!opts.keepsMajority) return true;
  const statuses = bench.members
    .filter(member => member !== id)
    .map(member => bench.processes.get(member)?.replica.status);
  const groups = statuses.map(s => (s?.isVoter ? s.group : -1));
  const group = bench.replica(bench.leader() ?? id)?.status.group;
  return groups.filter(other => other === group).length >= bench.majority;
}

function perform(bench: GroupBench, act: Act, opts: ChaosOptions): void {
  const at = (index = 0) => bench.members[index % bench.members.length]!;
  const id = at(act.node);
  const leader = bench.leader();
  switch (act.kind) {
    case 'restart':
    case 'kill':
      if (bench.processes.has(id) && !mayStop(bench, id, opts)) return;
      if (act.kind === 'restart') bench.start(id);
      else bench.kill(id);
      return;
    case 'isolate':
      bench.peers.isolate(id);
      return;
    case 'cut':
      bench.peers.cut(id, at(act.other));
      return;
    case 'heal':
      bench.peers.heal();
      return;
    case 'hand over':
      if (leader) bench.replica(leader).handOver(bench.clock.now());
      return;
    case 'network':
      bench.peers.loss = act.loss ?? 0;
      bench.peers.jitterMs = act.jitterMs ?? 0;
  }
}

/** Advances the clock while every leader proposes events. */
function run(bench: GroupBench, spanMs: number): void {
  const end = bench.clock.now() + spanMs;
  while (bench.clock.now() < end) {
    for (const [id, {replica}] of bench.processes) {
      if (replica.leadingEpoch !== undefined) bench.propose(id);
    }
    bench.clock.advance(20);
  }
}

/** Ends all faults and checks that the group then commits on all members. */
function settle(bench: GroupBench): void {
  bench.peers.heal();
  bench.peers.loss = 0;
  bench.peers.jitterMs = 0;
  for (const id of bench.members) {
    if (!bench.processes.has(id)) bench.start(id);
  }
  bench.awaitVotingMembers(SETTLE_MS);
  const leader = bench.awaitLeader(undefined, SETTLE_MS);
  const key = bench.propose(leader);
  bench.await('commit on all members', SETTLE_MS, () =>
    bench.members.every(id => bench.keysOf(id).includes(key)),
  );
}

const THREE = ['n1', 'n2', 'n3'];
const FIVE = [...THREE, 'n4', 'n5'];

for (const [title, members] of [
  ['random faults cause no violation with 3 members', THREE],
  ['random faults cause no violation with 5 members', FIVE],
] as const) {
  // Guards against two leaders in an epoch, lost commits and diverging logs.
  test(title, () => {
    fc.assert(
      fc.property(
        fc.nat(),
        fc.array(step, {minLength: 5, maxLength: 25}),
        (seed, steps) => {
          const bench = new GroupBench({members, seed});
          for (const {act, spanMs} of steps) {
            perform(bench, act, {keepsMajority: false});
            run(bench, spanMs);
          }
          settle(bench);
          assert.isEmpty(bench.violations);
        },
      ),
      {numRuns: 40},
    );
  });
}

for (const members of [THREE, FIVE]) {
  // Guards against a group that is formed anew, without the old jobs, while a
  // majority of the members still holds them.
  test(`${members.length} members lose nothing while a majority keeps its state`, () => {
    fc.assert(
      fc.property(
        fc.nat(),
        fc.array(step, {minLength: 5, maxLength: 25}),
        (seed, steps) => {
          const bench = new GroupBench({members, seed});
          bench.awaitLeader();
          bench.awaitVotingMembers();
          for (const {act, spanMs} of steps) {
            perform(bench, act, {keepsMajority: true});
            run(bench, spanMs);
          }
          settle(bench);
          assert.isEmpty(bench.violations);
          assert.equal(bench.committed.size, 1);
        },
      ),
      {numRuns: 40},
    );
  });
}
