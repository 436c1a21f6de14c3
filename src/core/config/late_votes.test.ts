import {assert} from 'chai';
import type {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import {createPlatformConfigBench} from '../../../test-support/fakes/create_platform_config_bench.js';
import {overloadLagMs} from '../../../test-support/fakes/overload_lag_ms.js';

/** Time after a loss within which the deployment must serve again. */
const RECOVERY_MS = 15_000;
const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

/** Six core nodes, five of which are voters. */
function createBench(seed: number): ConfigBench {
  const bench = createPlatformConfigBench({seed, followers: 3});
  bench.startAll();
  const hasFive = () => votersOf(bench, bench.waitForLeader()).length === 5;
  bench.waitUntil('five voters', hasFive, 10_000);
  bench.clock.advance(5_000 + 97 * seed);
  return bench;
}

function votersOf(bench: ConfigBench, node: string): string[] {
  return bench.node(node).logMember!.store.members.voters.map(v => v.node);
}

function hasCommitted(bench: ConfigBench): boolean {
  const {leader} = bench;
  if (leader === undefined) return false;
  return bench.node(leader).logMember!.leader!.hasCommittedInTerm;
}

// Each step of an election waited for event loops and disks in turn, so that no leader
// was there for a minute.
test('the rest of the voters elect a leader although their event loops are late', () => {
  const without = SEEDS.filter(seed => {
    const bench = createBench(seed);
    for (const id of bench.ids) {
      bench.loops.get(id)!.lag(() => overloadLagMs(bench.random));
    }
    const leader = bench.waitForLeader();
    const others = votersOf(bench, leader).filter(id => id !== leader);
    for (const id of [leader, others[0]!]) bench.crashAndWipe(id);
    const limit = bench.clock.now() + RECOVERY_MS;
    while (!hasCommitted(bench) && bench.clock.now() < limit) {
      bench.clock.advance(20);
    }
    return !hasCommitted(bench);
  });
  assert.isEmpty(without, `no leader with the seeds ${without.join()}`);
});
