import type {JobEvent} from '../job/job_event.js';
import type {JobTable} from '../job/job_table.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RandomSource} from '../random/random_source.js';
import type {GroupHeartbeat} from './group_heartbeat.js';
import type {GroupHeartbeatReply} from './group_heartbeat_reply.js';
import type {GroupMessage} from './group_message.js';
import {GroupState} from './group_state.js';
import {GroupTiming} from './group_timing.js';
import type {Role} from './role.js';

/** Distinguishes incarnations that start within the same millisecond. */
const INCARNATIONS_PER_MS = 1_000;

type HeaderField = 'epoch' | 'group' | 'settled' | 'incarnation';
type MessageBody<M> = M extends unknown
  ? Omit<M, HeaderField> & {epoch?: number}
  : never;

type Snapshot = Extract<GroupMessage, {type: 'install'}>['snapshot'];

interface ReplicaCoreOptions {
  readonly node: string;
  /** Zone of the group; part of the kinds of its messages. */
  readonly zone: string;
  /** Nodes of all configured members, in the same order on each of them. */
  readonly members: readonly string[];
  /** Members that vote and replicate, but never become leader. */
  readonly witnesses: readonly string[];
  readonly table: JobTable;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  /** Called after each role change. */
  readonly roleChanged: () => void;
  readonly committed: (events: readonly JobEvent[], now: number) => void;
  readonly leadershipChanged: (epoch: number | undefined, now: number) => void;
}

/** State of a member that is shared by all of its roles. */
export class ReplicaCore {
  /** Highest epoch seen; requests of lower epochs are refused. */
  epoch = 0;
  /** Node that has received this member's vote or grant in `epoch`. */
  votedFor: string | undefined;
  leader: string | undefined;
  /** Undefined until a snapshot is installed or a group is formed. */
  state: GroupState | undefined;
  /** Epoch milliseconds of the last contact to a leader or vote cast. */
  electionTimerResetAt = 0;
  /** Epoch milliseconds of the last contact to a leader. */
  leaderContactAt = 0;
  /** True after a hand-over, when the member is about to stop. */
  hasResigned = false;
  incarnation = 0;
  private currentRole: Role | undefined;

  constructor(readonly opts: ReplicaCoreOptions) {}

  get role(): Role | undefined {
    return this.currentRole;
  }

  get majority(): number {
    return Math.floor(this.opts.members.length / 2) + 1;
  }

  /** Whether votes and acknowledgements of this incarnation count. */
  get isVoter(): boolean {
    return this.state?.members.get(this.opts.node) === this.incarnation;
  }

  /**
   * Whether the member may become leader. One that has resigned may do so only
   * if no other member has taken over.
   */
  canLead(now: number): boolean {
    const {witnesses, node} = this.opts;
    if (witnesses.includes(node)) return false;
    return !this.hasResigned || this.hasLostLeader(now);
  }

  /** Whether there was no contact to a leader for `LEADER_LOSS_TIMEOUT_MS`. */
  hasLostLeader(now: number): boolean {
    return now - this.leaderContactAt >= GroupTiming.LEADER_LOSS_TIMEOUT_MS;
  }

  others(): string[] {
    return this.opts.members.filter(node => node !== this.opts.node);
  }

  become(role: Role, now: number): void {
    this.currentRole?.exit(now);
    this.currentRole = role;
    role.enter(now);
    this.opts.roleChanged();
  }

  /** Discards the state and begins a new incarnation. */
  startIncarnation(now: number): void {
    const suffix = Math.floor(this.opts.random.next() * INCARNATIONS_PER_MS);
    const fromClock = Math.floor(now) * INCARNATIONS_PER_MS + suffix;
    this.incarnation = Math.max(this.incarnation + 1, fromClock);
    this.state = undefined;
    this.leader = undefined;
  }

  /**
   * Epoch above all epochs seen by this member. Its remainder modulo the number
   * of members is the member's position, so no two members choose the same
   * epoch. The clock keeps it above the epochs of groups whose state was lost.
   */
  nextEpoch(now: number): number {
    const {members, node} = this.opts;
    const lowest = Math.max(this.epoch + 1, Math.floor(now));
    const count = members.length;
    const position = members.indexOf(node);
    return lowest + ((position - (lowest % count) + count) % count);
  }

  /** Adopts an epoch if it is higher; no vote has been cast in it. */
  advanceEpoch(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    this.votedFor = undefined;
    this.leader = undefined;
  }

  /** Records contact to a leader, which resets the election timer. */
  recordLeader(leader: string, epoch: number, now: number): void {
    this.advanceEpoch(epoch);
    this.leader = leader;
    this.electionTimerResetAt = now;
    this.leaderContactAt = now;
  }

  /** Whether contact to a leader is more recent than the election timeout. */
  hasLeader(now: number): boolean {
    return (
      this.leader !== undefined &&
      now - this.leaderContactAt < GroupTiming.ELECTION_TIMEOUT_MS
    );
  }

  jitter(spreadMs: number): number {
    return this.opts.random.next() * spreadMs;
  }

  /** Sends a message; its epoch defaults to the member's own. */
  send(to: string, msg: MessageBody<GroupMessage>): void {
    const {zone, peers} = this.opts;
    peers.send(to, `group.${zone}`, {
      epoch: this.epoch,
      ...msg,
      group: this.state?.group ?? 0,
      settled: this.state?.isFormationCommitted ?? false,
      incarnation: this.incarnation,
    });
  }

  /** State as of the commit index. The job records are not copied. */
  snapshot(): Snapshot {
    const {group, memoryStart, log, membersAtCommit} = this.state!;
    return {
      group,
      memoryStart,
      index: log.commit,
      indexEpoch: log.epochAt(log.commit) ?? 0,
      members: membersAtCommit,
      records: [...this.opts.table.snapshot()],
    };
  }

  /** Replaces jobs and state by those of another member. */
  installSnapshot(snapshot: Snapshot): void {
    this.opts.table.restore(snapshot.records);
    this.state = new GroupState(snapshot);
  }

  sendHeartbeat(to: string, heartbeat: GroupHeartbeat): void {
    this.opts.peers.send(to, `group.beat.${this.opts.zone}`, heartbeat);
  }

  sendHeartbeatReply(to: string, reply: GroupHeartbeatReply): void {
    this.opts.peers.send(to, `group.alive.${this.opts.zone}`, reply);
  }

  /** Commits entries up to `index` and passes on their events in one call. */
  commitTo(index: number, now: number): void {
    const {state} = this;
    if (!state) return;
    const events: JobEvent[] = [];
    while (state.log.commit < index) {
      const entry = state.commitNext();
      if (!entry) break;
      if (entry.kind === 'events') events.push(...entry.events);
    }
    if (events.length > 0) this.opts.committed(events, now);
  }
}
