import type {Clock} from '../../core/clock/clock.js';
import {SubmissionGate} from '../../core/dispatch/submission_gate.js';
import {NonMemberReplicator} from '../../core/group/non_member_replicator.js';
import {GroupReplica} from '../../core/group/group_replica.js';
import type {Replicator} from '../../core/group/replicator.js';
import {zoneMembers} from '../../core/group/zone_members.js';
import {JobTable} from '../../core/job/job_table.js';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import type {RandomSource} from '../../core/random/random_source.js';

const HANDOVER_POLL_MS = 10;
/**
 * Longest wait for a leadership transfer, which normally takes a few round trips.
 * The drain continues after it.
 */
const HANDOVER_TIMEOUT_MS = 2_000;

interface ZoneGroupsOptions {
  readonly node: string;
  readonly zone: string;
  /** All daemons of the deployment. */
  readonly nodes: ReadonlyArray<{readonly id: string; readonly zone: string}>;
  readonly peers: PeerTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * This daemon's replicas of job tables: one in the group of its own zone, and one
 * in the group of each other zone that it is a member of, as a witness.
 */
export class ZoneGroups {
  /** Jobs of this daemon's zone. */
  readonly table = new JobTable();
  /** Member of the group of this daemon's zone. */
  readonly ownReplica: Replicator;
  private readonly replicas: GroupReplica[] = [];

  constructor(private readonly opts: ZoneGroupsOptions) {
    const {zone} = opts;
    this.ownReplica =
      this.addReplica(zone, this.table) ?? new NonMemberReplicator();
    const others = new Set(opts.nodes.map(node => node.zone));
    others.delete(zone);
    for (const other of others) {
      const table = new JobTable();
      this.addReplica(other, table)?.listen({
        committed: events => events.forEach(event => table.apply(event)),
        leadershipChanged: () => undefined,
      });
    }
  }

  start(): void {
    for (const replica of this.replicas) replica.start();
  }

  stop(): void {
    for (const replica of this.replicas) replica.stop();
  }

  /**
   * Whether the zone accepts keys that are created now. It is false until the
   * group has formed or has sent its state to a restarted member.
   */
  isReady(): boolean {
    const {memoryStart} = this.ownReplica;
    const acceptsFrom = memoryStart + SubmissionGate.MAX_CLOCK_SKEW_MS;
    return this.opts.clock.now() >= acceptsFrom;
  }

  /**
   * Transfers leadership and waits for the election of another leader. Returns
   * false if no other member took over.
   */
  async handOver(): Promise<boolean> {
    const {clock} = this.opts;
    const startedAt = clock.now();
    if (!this.ownReplica.handOver(startedAt)) return false;
    while (clock.now() - startedAt < HANDOVER_TIMEOUT_MS) {
      const {leader} = this.ownReplica;
      if (this.ownReplica instanceof NonMemberReplicator) return true;
      if (leader !== undefined && leader !== this.opts.node) return true;
      await new Promise<void>(resolve => {
        clock.schedule(HANDOVER_POLL_MS, resolve);
      });
    }
    return false;
  }

  private addReplica(zone: string, table: JobTable): GroupReplica | undefined {
    const {node, nodes, peers, clock, random} = this.opts;
    const {members, witnesses} = zoneMembers(zone, nodes);
    if (!members.includes(node)) return undefined;
    const replica = new GroupReplica({
      ...{zone, node, members, witnesses, table, peers, clock, random},
    });
    this.replicas.push(replica);
    return replica;
  }
}
