import type {Result} from 'true-myth';
import type {ChangeOutcome} from '../state/change_outcome.js';
import type {ChangeRefusal} from '../state/change_refusal.js';
import type {ElectionTimer} from './election_timer.js';
import type {LogEntry} from './log_entry.js';
import type {LogMember} from './log_member.js';
import type {LogMessage} from './log_message.js';
import type {LogMemberId} from './log_member_id.js';
import type {LogTiming} from './log_timing.js';
import {ReplicationProgress} from './replication_progress.js';
import {LogReplicator} from './log_replicator.js';
import {MembershipManager} from './membership_manager.js';

/**
 * Limit of uncommitted proposals. Further requests are answered `not_leader`
 * and have no effect.
 */
const MAX_PROPOSALS = 1_024;

type Decision = Result<ChangeOutcome, ChangeRefusal>;

interface Read {
  readonly round: number;
  readonly done: (isCurrent: boolean) => void;
}

/** The leader's side of replication, for the term of one leadership. */
export class LogLeader {
  readonly membership: MembershipManager;
  private readonly progress = new Map<string, ReplicationProgress>();
  /**
   * Callbacks of uncommitted proposals by index; called with undefined if the
   * leadership ends first, as the outcome is then unknown.
   */
  private readonly proposals = new Map<
    number,
    (decision: Decision | undefined) => void
  >();
  private reads: Read[] = [];
  private readonly replicator: LogReplicator;
  /** Send time of each heartbeat round that a majority has not answered yet. */
  private readonly roundSentAt = new Map<number, number>();
  private lastConfirmedAt: number;
  private readonly timing: LogTiming;
  private nextHeartbeatAt = 0;
  /** Index of the first entry of this term. */
  private termStartIndex = 0;
  private transferDeadline = 0;
  private isEnded = false;

  constructor(
    private readonly member: LogMember,
    now: number,
    /** Time before the election without any confirmed leader, in ms. */
    readonly msWithoutLeader: number,
  ) {
    this.membership = new MembershipManager(this, member);
    this.replicator = new LogReplicator(member);
    this.timing = member.timing;
    this.lastConfirmedAt = now;
    this.updateTrackedMembers(now);
  }

  start(now: number): void {
    this.termStartIndex = this.append({kind: 'term'}, now);
  }

  /**
   * Whether an entry of this term is committed, and with it all entries of
   * earlier terms.
   */
  get hasCommittedInTerm(): boolean {
    return this.member.commitIndex >= this.termStartIndex;
  }

  /** False during a leadership transfer or with too many open proposals. */
  isAcceptingProposals(now: number): boolean {
    return now >= this.transferDeadline && this.proposals.size < MAX_PROPOSALS;
  }

  /**
   * Appends an entry; entries appended during a disk write share the next one.
   * Calls `done` once the entry is applied, or with undefined if the leadership
   * ends first.
   */
  propose(
    body: LogEntry['body'],
    now: number,
    done: (decision: Decision | undefined) => void,
  ): void {
    const index = this.member.store.lastIndex + 1;
    this.proposals.set(index, done);
    this.append(body, now);
  }

  /**
   * Calls `done` with true once a majority has answered a heartbeat sent after
   * this call, so that a read from the applied state is linearizable (Raft's
   * ReadIndex), and with false if the leadership ends first.
   */
  confirmLeadership(now: number, done: (isCurrent: boolean) => void): void {
    this.sendHeartbeats(now);
    this.reads.push({round: this.replicator.round, done});
    this.completeReads();
  }

  /**
   * Send time of the latest heartbeat round that a majority has answered. No
   * other member can win an election before the election timeout has passed
   * since then.
   */
  leadershipConfirmedAt(now: number): number {
    return this.hasMajority(() => false) ? now : this.lastConfirmedAt;
  }

  /**
   * Transfers leadership to the most up-to-date voter. Until the timeout, new
   * proposals are refused and the transfer is retried when a member catches up.
   */
  transferLeadership(now: number): void {
    this.transferDeadline = now + this.timing.TRANSFER_TIMEOUT_MS;
    this.tryTransfer();
  }

  progressOf(id: LogMemberId): ReplicationProgress | undefined {
    return this.progress.get(id.storage);
  }

  tick(now: number, timer: ElectionTimer): void {
    const hasQuorum = this.hasQuorum(now, timer.timeoutMs);
    // Replies that this member has not read yet may wait for it.
    if (!hasQuorum && !timer.isCatchingUp(now)) {
      this.member.stepDown(now);
      return;
    }
    if (now >= this.nextHeartbeatAt) this.sendHeartbeats(now);
    if (!hasQuorum) return;
    timer.onQuorum(now);
    this.membership.tick(now);
  }

  onReply(msg: Extract<LogMessage, {type: 'append_reply'}>, now: number): void {
    const progress = this.progress.get(msg.from);
    if (!progress) return;
    progress.lastContactAt = now;
    progress.hasReplied = true;
    progress.onReply(msg.round);
    if (msg.ok) {
      progress.matchIndex = Math.max(progress.matchIndex, msg.match);
      progress.nextIndex = Math.max(
        progress.nextIndex,
        msg.last + 1,
        progress.matchIndex + 1,
      );
    } else if (!progress.isInFlight) {
      progress.nextIndex = Math.max(progress.matchIndex, msg.last) + 1;
    }
    this.updateLastConfirmed(now);
    this.completeReads();
    this.updateCommit(now);
    if (this.isEnded) return;
    const {lastIndex} = this.member.store;
    const committed = Math.min(this.member.commitIndex, progress.nextIndex - 1);
    const isBehind =
      progress.nextIndex <= lastIndex || progress.sentCommitIndex < committed;
    if (isBehind) this.replicator.replicate(progress);
    this.membership.tick(now);
    if (now < this.transferDeadline) this.tryTransfer();
  }

  onApplied(index: number, decision: Decision | undefined, now: number): void {
    const done = this.proposals.get(index);
    this.proposals.delete(index);
    done?.(decision);
    this.membership.onApplied(index, now);
  }

  /** Fails open proposals and reads; called when the member steps down. */
  end(): void {
    this.isEnded = true;
    for (const done of [...this.proposals.values()]) done(undefined);
    this.proposals.clear();
    for (const {done} of this.reads) done(false);
    this.reads = [];
    this.membership.end();
  }

  private append(body: LogEntry['body'], now: number): number {
    const {store} = this.member;
    const index = store.lastIndex + 1;
    store.append([{index, term: this.member.term, body}]);
    if (body.kind === 'members') this.updateTrackedMembers(now);
    for (const progress of this.progress.values()) {
      if (!progress.isInFlight) this.replicator.replicate(progress);
    }
    store.whenDurable(at => {
      if (!this.isEnded) this.updateCommit(at);
    });
    return index;
  }

  private sendHeartbeats(now: number): void {
    this.nextHeartbeatAt = now + this.timing.HEARTBEAT_MS;
    this.roundSentAt.set(this.replicator.nextRound(), now);
    for (const progress of this.progress.values()) {
      this.replicator.replicate(progress);
    }
  }

  private updateCommit(now: number): void {
    const {store, commitIndex, id} = this.member;
    const matches = store.members.voters
      .map(m =>
        m.storage === id.storage
          ? store.durableIndex
          : (this.progress.get(m.storage)?.matchIndex ?? 0),
      )
      .sort((a, b) => b - a);
    const index = matches[Math.floor(matches.length / 2)] ?? 0;
    if (index <= commitIndex) return;
    // An entry of an earlier term stored on a majority can still be overwritten
    // by a later leader, so it is committed only with an entry of this term.
    if (store.termAt(index) !== this.member.term) return;
    this.member.advanceCommit(index, now);
    if (this.isEnded) return;
    this.completeReads();
    this.sendHeartbeats(now);
  }

  private completeReads(): void {
    if (!this.hasCommittedInTerm || this.reads.length === 0) return;
    const ready = this.reads.filter(read => this.isRoundConfirmed(read.round));
    if (ready.length === 0) return;
    this.reads = this.reads.filter(read => !ready.includes(read));
    for (const {done} of ready) done(true);
  }

  private updateLastConfirmed(now: number): void {
    for (const [round, sentAt] of this.roundSentAt) {
      if (this.isRoundConfirmed(round)) {
        this.lastConfirmedAt = Math.max(this.lastConfirmedAt, sentAt);
        this.roundSentAt.delete(round);
      } else if (now - sentAt > this.timing.ELECTION_TIMEOUT_MS) {
        this.roundSentAt.delete(round);
      }
    }
  }

  private isRoundConfirmed(round: number): boolean {
    return this.hasMajority(p => p.ackedRound >= round);
  }

  /** Whether a majority has replied within `timeoutMs`. */
  hasQuorum(now: number, timeoutMs: number): boolean {
    return this.hasMajority(p => now - p.lastContactAt < timeoutMs);
  }

  /**
   * Whether a majority of the voters passes the test; this member always does.
   */
  private hasMajority(
    test: (progress: ReplicationProgress) => boolean,
  ): boolean {
    const {voters} = this.member.store.members;
    const passed = voters.filter(m => {
      if (m.storage === this.member.id.storage) return true;
      const progress = this.progress.get(m.storage);
      return progress !== undefined && test(progress);
    });
    return passed.length > voters.length / 2;
  }

  private tryTransfer(): void {
    const {store, id} = this.member;
    const isVoter = (p: ReplicationProgress) =>
      store.members.voters.some(m => m.storage === p.id.storage);
    const [best] = [...this.progress.values()]
      .filter(p => isVoter(p) && p.id.storage !== id.storage)
      .sort(
        (a, b) =>
          b.matchIndex - a.matchIndex || b.lastContactAt - a.lastContactAt,
      );
    if (!best || best.matchIndex < store.lastIndex) return;
    this.member.send<'timeout_now'>(best.id, {type: 'timeout_now'});
  }

  private updateTrackedMembers(now: number): void {
    const {store, id} = this.member;
    const {voters, learners} = store.members;
    const others = [...voters, ...learners].filter(
      m => m.storage !== id.storage,
    );
    for (const other of others) {
      if (this.progress.has(other.storage)) continue;
      const next = store.lastIndex + 1;
      this.progress.set(
        other.storage,
        new ReplicationProgress(other, next, now),
      );
    }
    const kept = new Set(others.map(m => m.storage));
    for (const storage of [...this.progress.keys()]) {
      if (!kept.has(storage)) this.progress.delete(storage);
    }
  }
}
