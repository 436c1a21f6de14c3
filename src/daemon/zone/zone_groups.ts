import type {Clock} from '../../core/clock/clock.js';
import {SubmissionGate} from '../../core/dispatch/submission_gate.js';
import {NonMemberReplicator} from '../../core/group/non_member_replicator.js';
import {GroupReplica} from '../../core/group/group_replica.js';
import type {Replicator} from '../../core/group/replicator.js';
import {zoneMembers} from '../../core/group/zone_members.js';
import {JobTable} from '../../core/job/job_table.js';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import type {RandomSource} from '../../core/random/random_source.js';

const HAND_OVER_POLL_MS = 10;
/** A hand-over takes a few round trips; without one the drain goes on. */
const HAND_OVER_LIMIT_MS = 2_000;

interface ZoneGroupsOptions {
  readonly node: string;
  readonly zone: string;
  /** Every daemon of the deployment. */
  readonly nodes: ReadonlyArray<{readonly id: string; readonly zone: string}>;
  readonly peers: PeerTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * This daemon's replicas: one of its own zone's group, and one as a witness in
 * the group of each zone that counts on it.
 */
export class ZoneGroups {
  /** Jobs of the daemon's own zone. */
  readonly table = new JobTable();
  readonly ownReplica: Replicator;
  private readonly replicas: GroupReplica[] = [];

  constructor(private readonly opts: ZoneGroupsOptions) {
    const {zone} = opts;
    this.ownReplica = this.join(zone, this.table) ?? new NonMemberReplicator();
    const others = new Set(opts.nodes.map(node => node.zone));
    others.delete(zone);
    for (const other of others) {
      const table = new JobTable();
      this.join(other, table)?.listen({
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
   * Whether the zone accepts keys made now. The group of a member that has no
   * memory yet forms or answers soon.
   */
  isReady(): boolean {
    const {memoryStart} = this.ownReplica;
    const acceptsFrom = memoryStart + SubmissionGate.MAX_CLOCK_SKEW_MS;
    return this.opts.clock.now() >= acceptsFrom;
  }

  /**
   * Passes the lead on and awaits the election of a successor. False if no
   * other member can take over.
   */
  async handOver(): Promise<boolean> {
    const {clock} = this.opts;
    const started = clock.now();
    if (!this.ownReplica.handOver(started)) return false;
    while (clock.now() - started < HAND_OVER_LIMIT_MS) {
      const {leader} = this.ownReplica;
      if (this.ownReplica instanceof NonMemberReplicator) return true;
      if (leader !== undefined && leader !== this.opts.node) return true;
      await new Promise<void>(resolve => {
        clock.schedule(HAND_OVER_POLL_MS, resolve);
      });
    }
    return false;
  }

  private join(zone: string, table: JobTable): GroupReplica | undefined {
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
