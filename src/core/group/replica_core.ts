import type {JobEvent} from '../job/job_event.js';
import type {JobTable} from '../job/job_table.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RandomSource} from '../random/random_source.js';
import type {GroupHeartbeatReply} from './group_heartbeat_reply.js';
import type {GroupHeartbeat} from './group_heartbeat.js';
import {GroupState} from './group_state.js';
import type {GroupMessage} from './group_message.js';
import {GroupTiming} from './group_timing.js';
import type {Role} from './role.js';

/** Distinguishes two starts within a millisecond. */
const INCARNATIONS_PER_MS = 1_000;

type HeaderField = 'epoch' | 'group' | 'settled' | 'incarnation';
type MessageBody<M> = M extends unknown
  ? Omit<M, HeaderField> & {epoch?: number}
  : never;

type Snapshot = Extract<GroupMessage, {type: 'install'}>['snapshot'];

interface ReplicaCoreOptions {
  readonly node: string;
  /** Names the group in the kinds of its messages. */
  readonly zone: string;
  /** Every member's node, in the same order on all of them. */
  readonly members: readonly string[];
  /** Members that vote and store, but never lead. */
  readonly witnesses: readonly string[];
  readonly table: JobTable;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  /** Called after each change of role. */
  readonly roleChanged: () => void;
  readonly committed: (events: readonly JobEvent[], now: number) => void;
  readonly leadershipChanged: (epoch: number | undefined, now: number) => void;
}

/** State of a member that all of its roles share. */
export class ReplicaCore {
  /** Highest epoch seen; every lower one is refused. */
  epoch = 0;
  /** Who has this member's vote or grant in `epoch`. */
  votedFor: string | undefined;
  leader: string | undefined;
  /** Undefined in a member that lost its memory or never had one. */
  state: GroupState | undefined;
  /** When a leader was heard or a vote was given. */
  electionTimerResetAt = 0;
  /** When a leader was heard. */
  leaderContactAt = 0;
  /** A member that is about to stop leaves the lead to others. */
  hasResigned = false;
  incarnation = 0;
  private current: Role | undefined;

  constructor(readonly opts: ReplicaCoreOptions) {}

  get role(): Role | undefined {
    return this.current;
  }

  get majority(): number {
    return Math.floor(this.opts.members.length / 2) + 1;
  }

  /** Whether votes and acknowledgements of this member count. */
  get isVotingMember(): boolean {
    return this.state?.members.get(this.opts.node) === this.incarnation;
  }

  /** Whether the member may ask for the lead; a retired one if nobody does. */
  isLeaderEligible(now: number): boolean {
    const {witnesses, node} = this.opts;
    if (witnesses.includes(node)) return false;
    return !this.hasResigned || this.hasLostLeader(now);
  }

  /** Whether no leader has been heard for long. */
  hasLostLeader(now: number): boolean {
    return now - this.leaderContactAt >= GroupTiming.LEADER_LOSS_TIMEOUT_MS;
  }

  others(): string[] {
    return this.opts.members.filter(node => node !== this.opts.node);
  }

  changeRole(role: Role, now: number): void {
    this.current?.exit(now);
    this.current = role;
    role.enter(now);
    this.opts.roleChanged();
  }

  /** Takes a new incarnation, without memory. */
  startIncarnation(now: number): void {
    const drawn = Math.floor(this.opts.random.next() * INCARNATIONS_PER_MS);
    const fresh = Math.floor(now) * INCARNATIONS_PER_MS + drawn;
    this.incarnation = Math.max(this.incarnation + 1, fresh);
    this.state = undefined;
    this.leader = undefined;
  }

  /**
   * An epoch above all seen that no other member picks: its remainder is the
   * member's position. The clock keeps it above those of forgotten groups.
   */
  nextEpoch(now: number): number {
    const {members, node} = this.opts;
    const least = Math.max(this.epoch + 1, Math.floor(now));
    const count = members.length;
    const position = members.indexOf(node);
    return least + ((position - (least % count) + count) % count);
  }

  /** Takes a higher epoch, without a vote in it. */
  advanceEpoch(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    this.votedFor = undefined;
    this.leader = undefined;
  }

  /** Takes a leader's epoch and puts off the next election. */
  recordLeader(leader: string, epoch: number, now: number): void {
    this.advanceEpoch(epoch);
    this.leader = leader;
    this.electionTimerResetAt = now;
    this.leaderContactAt = now;
  }

  /** Whether a leader was heard so recently that no election is due. */
  hasLiveLeader(now: number): boolean {
    return (
      this.leader !== undefined &&
      now - this.leaderContactAt < GroupTiming.ELECTION_TIMEOUT_MS
    );
  }

  jitter(spreadMs: number): number {
    return this.opts.random.next() * spreadMs;
  }

  /** Sends a message; its epoch is the member's own unless it names one. */
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

  /** The state as of the commit index; its records are live. */
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

  /** Replaces jobs and log by those of another member. */
  installSnapshot(snapshot: Snapshot): void {
    this.opts.table.restore(snapshot.records);
    this.state = new GroupState(snapshot);
  }

  sendHeartbeat(to: string, beat: GroupHeartbeat): void {
    this.opts.peers.send(to, `group.beat.${this.opts.zone}`, beat);
  }

  sendHeartbeatReply(to: string, alive: GroupHeartbeatReply): void {
    this.opts.peers.send(to, `group.alive.${this.opts.zone}`, alive);
  }

  /** Commits entries up to `index` and reports their events in one call. */
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
