import type {Clock} from '../../src/core/clock/clock.js';
import {GroupReplica} from '../../src/core/group/group_replica.js';
import type {Replicator} from '../../src/core/group/replicator.js';
import type {JobEvent} from '../../src/core/job/job_event.js';
import type {JobTable} from '../../src/core/job/job_table.js';
import {FakePeers} from './fake_peers.js';
import {SeededRandom} from './seeded_random.js';
import {TestGroup} from './test_group.js';

/** Longer than an election, so that another member becomes leader. */
const MIN_ISOLATION_MS = 1_200;

interface ReplicaGroupOptions {
  readonly clock: Clock;
  readonly members: readonly string[];
  /** Called once for each accepted job, when it is committed. */
  readonly onCommitted: (event: JobEvent) => void;
  /** Called when a member becomes leader. */
  readonly onLeader: () => void;
  /**
   * Called when a new group has formed without the jobs of the previous one.
   */
  readonly onStateLost: () => void;
}

/** Group of a zone with real replicas, on a network with partitions. */
export class ReplicaGroup extends TestGroup {
  private readonly random = new SeededRandom(1);
  private readonly peers: FakePeers;
  private readonly replicas = new Map<string, GroupReplica>();
  private readonly accepted = new Set<string>();
  private memoryStart: number | undefined;
  private highestEpoch = 0;
  private isStarted = false;

  constructor(private readonly opts: ReplicaGroupOptions) {
    super();
    const {clock} = opts;
    this.peers = new FakePeers({clock, random: this.random});
  }

  override addMember(node: string, table: JobTable): Replicator {
    this.replicas.get(node)?.stop();
    const {clock, members} = this.opts;
    const replica = new ObservedReplica(
      {
        zone: 'arbat',
        node,
        members,
        witnesses: [],
        table,
        peers: this.peers.attach(node),
        clock,
        random: this.random,
      },
      events => this.recordCommits(events),
      () => this.recordLeader(replica),
    );
    this.replicas.set(node, replica);
    if (this.isStarted) replica.start();
    return replica;
  }

  override start(): void {
    this.isStarted = true;
    for (const replica of this.replicas.values()) replica.start();
  }

  override stop(): void {
    for (const replica of this.replicas.values()) replica.stop();
    for (const node of this.replicas.keys()) this.peers.detach(node);
  }

  override get leaderNode(): string | undefined {
    for (const [node, {leadingEpoch: epoch}] of this.replicas) {
      // Skips a deposed leader that has not stepped down yet.
      if (epoch !== undefined && epoch === this.highestEpoch) return node;
    }
    return undefined;
  }

  override takeOver(
    _node: string,
    {noticedAfterMs}: {readonly noticedAfterMs: number},
  ): void {
    const leader = this.leaderNode;
    if (leader === undefined) return;
    this.peers.isolate(leader);
    const healAfterMs = MIN_ISOLATION_MS + noticedAfterMs;
    this.opts.clock.schedule(healAfterMs, () => this.peers.heal());
  }

  override stall(ms: number): void {
    for (const node of this.opts.members) this.peers.isolate(node);
    this.opts.clock.schedule(ms, () => this.peers.heal());
  }

  private recordCommits(events: readonly JobEvent[]): void {
    for (const event of events) {
      if (event.kind !== 'accepted' || this.accepted.has(event.job.key)) {
        continue;
      }
      this.accepted.add(event.job.key);
      this.opts.onCommitted(event);
    }
  }

  private recordLeader({memoryStart, leadingEpoch = 0}: Replicator): void {
    this.highestEpoch = Math.max(this.highestEpoch, leadingEpoch);
    const before = this.memoryStart;
    this.memoryStart = memoryStart;
    if (before !== undefined && before !== memoryStart) {
      this.accepted.clear();
      this.opts.onStateLost();
    }
    this.opts.onLeader();
  }
}

type ReplicaOptions = ConstructorParameters<typeof GroupReplica>[0];
type Listener = Parameters<Replicator['listen']>[0];

class ObservedReplica extends GroupReplica {
  constructor(
    opts: ReplicaOptions,
    private readonly onCommits: (events: readonly JobEvent[]) => void,
    private readonly onLeader: () => void,
  ) {
    super(opts);
  }

  override listen(listener: Listener): void {
    super.listen({
      committed: (events, now) => {
        this.onCommits(events);
        listener.committed(events, now);
      },
      leadershipChanged: (epoch, now) => {
        if (epoch !== undefined) this.onLeader();
        listener.leadershipChanged(epoch, now);
      },
    });
  }
}
