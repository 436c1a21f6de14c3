import type {Result} from 'true-myth';
import type {ChangeOutcome} from '../state/change_outcome.js';
import type {ChangeRefusal} from '../state/change_refusal.js';
import type {LogEntry} from './log_entry.js';
import type {LogMember} from './log_member.js';
import type {LogMessage} from './log_message.js';
import type {LogNodeId} from './log_node_id.js';
import type {LogTiming} from './log_timing.js';
import {MemberProgress} from './member_progress.js';
import {MembershipManager} from './membership_manager.js';

const MAX_ENTRIES_PER_MESSAGE = 64;
/** More open proposals than this are refused as not made. */
const MAX_PROPOSALS = 1_024;

type Decision = Result<ChangeOutcome, ChangeRefusal>;

interface Read {
  readonly round: number;
  readonly done: (isCurrent: boolean) => void;
}

/** One member's lead in one term. */
export class LogLeader {
  readonly members: MembershipManager;
  private readonly progress = new Map<string, MemberProgress>();
  /** Open proposals by index; called with undefined if their fate is open. */
  private readonly proposals = new Map<
    number,
    (decision: Decision | undefined) => void
  >();
  private reads: Read[] = [];
  private round = 0;
  /** When each round that may still be confirmed was sent. */
  private readonly sentRounds = new Map<number, number>();
  private confirmed: number;
  private readonly timing: LogTiming;
  private nextHeartbeat = 0;
  /** Index of this term's first entry. */
  private startIndex = 0;
  private transferUntil = 0;
  private isEnded = false;

  constructor(
    private readonly member: LogMember,
    now: number,
    /** For how long before no other member can have led, in ms. */
    readonly silentMs: number,
  ) {
    this.members = new MembershipManager(this, member);
    this.timing = member.timing;
    this.confirmed = now;
    this.syncProgress(now);
  }

  start(now: number): void {
    this.startIndex = this.append({kind: 'term'}, now);
  }

  /** Whether what earlier terms left is settled. */
  get isSettled(): boolean {
    return this.member.commitIndex >= this.startIndex;
  }

  /** Whether proposals are taken at present. */
  isOpen(now: number): boolean {
    return now >= this.transferUntil && this.proposals.size < MAX_PROPOSALS;
  }

  /** Appends an entry; the next write takes it along with others. */
  propose(
    body: LogEntry['body'],
    now: number,
    done: (decision: Decision | undefined) => void,
  ): void {
    const index = this.member.store.lastIndex + 1;
    this.proposals.set(index, done);
    this.append(body, now);
  }

  /** Calls `done` once a majority has confirmed the lead after this call. */
  confirm(now: number, done: (isCurrent: boolean) => void): void {
    this.beat(now);
    this.reads.push({round: this.round, done});
    this.settleReads();
  }

  /**
   * Latest time at which a round of heartbeats was sent that a majority has
   * answered since. No other member can have won an election until the
   * election timeout has passed after it.
   */
  confirmedAt(now: number): number {
    return this.countVoters(() => false) ? now : this.confirmed;
  }

  /** Hands the lead to the member that is furthest; does nothing without one. */
  transfer(now: number): void {
    this.transferUntil = now + this.timing.TRANSFER_TIMEOUT_MS;
    this.tryTransfer();
  }

  progressOf(id: LogNodeId): MemberProgress | undefined {
    return this.progress.get(id.storage);
  }

  tick(now: number): void {
    if (!this.hasQuorum(now)) {
      this.member.stepDown(now);
      return;
    }
    if (now >= this.nextHeartbeat) this.beat(now);
    this.members.tick(now);
  }

  onReply(msg: Extract<LogMessage, {type: 'append_reply'}>, now: number): void {
    const progress = this.progress.get(msg.from);
    if (!progress) return;
    progress.heardAt = now;
    progress.round = Math.max(progress.round, msg.round);
    progress.isBusy = false;
    if (msg.ok) {
      progress.match = Math.max(progress.match, msg.match);
      progress.next = Math.max(progress.next, msg.last + 1, progress.match + 1);
    } else {
      progress.next = Math.max(progress.match, msg.last) + 1;
    }
    this.noteConfirmed(now);
    this.settleReads();
    this.updateCommit(now);
    if (this.isEnded) return;
    const {lastIndex} = this.member.store;
    const committed = Math.min(this.member.commitIndex, progress.next - 1);
    const isBehind =
      progress.next <= lastIndex || progress.sentCommit < committed;
    if (isBehind) this.replicate(progress, now);
    this.members.tick(now);
    if (now < this.transferUntil) this.tryTransfer();
  }

  onApplied(index: number, decision: Decision | undefined, now: number): void {
    const done = this.proposals.get(index);
    this.proposals.delete(index);
    done?.(decision);
    this.members.onApplied(index, now);
  }

  /** Called when the lead has ended. */
  end(): void {
    this.isEnded = true;
    for (const done of [...this.proposals.values()]) done(undefined);
    this.proposals.clear();
    for (const {done} of this.reads) done(false);
    this.reads = [];
    this.members.end();
  }

  private append(body: LogEntry['body'], now: number): number {
    const {store} = this.member;
    const index = store.lastIndex + 1;
    store.append([{index, term: this.member.term, body}]);
    if (body.kind === 'members') this.syncProgress(now);
    for (const progress of this.progress.values()) {
      if (!progress.isBusy) this.replicate(progress, now);
    }
    store.whenDurable(at => {
      if (!this.isEnded) this.updateCommit(at);
    });
    return index;
  }

  private beat(now: number): void {
    this.nextHeartbeat = now + this.timing.HEARTBEAT_MS;
    this.round += 1;
    this.sentRounds.set(this.round, now);
    for (const progress of this.progress.values()) {
      this.replicate(progress, now);
    }
  }

  private replicate(progress: MemberProgress, now: number): void {
    const {store} = this.member;
    const {round} = this;
    const isSnapshot = progress.next <= store.baseIndex;
    const waited = now - progress.sentAt;
    if (
      isSnapshot &&
      !(progress.isBusy && waited < this.timing.SNAPSHOT_RETRY_MS)
    ) {
      progress.isBusy = true;
      progress.sentAt = now;
      const snapshot = store.snapshot!;
      this.member.send<'snapshot'>(progress.id, {
        type: 'snapshot',
        snapshot,
        round,
      });
      return;
    }
    const isRetry = !progress.isBusy || waited >= this.timing.HEARTBEAT_MS;
    const entries =
      isSnapshot || !isRetry
        ? []
        : store.entriesFrom(progress.next, MAX_ENTRIES_PER_MESSAGE);
    const prevIndex = isSnapshot ? store.baseIndex : progress.next - 1;
    if (entries.length > 0) {
      progress.isBusy = true;
      progress.sentAt = now;
    }
    progress.sentCommit = Math.min(
      this.member.commitIndex,
      prevIndex + entries.length,
    );
    this.member.send<'append'>(progress.id, {
      type: 'append',
      prev_index: prevIndex,
      prev_term: store.termAt(prevIndex) ?? 0,
      ...(entries.length > 0 ? {entries} : {}),
      commit: this.member.commitIndex,
      round,
    });
  }

  private updateCommit(now: number): void {
    const {store, commitIndex, id} = this.member;
    const matches = store.members.voters
      .map(m =>
        m.storage === id.storage
          ? store.durableIndex
          : (this.progress.get(m.storage)?.match ?? 0),
      )
      .sort((a, b) => b - a);
    const index = matches[Math.floor(matches.length / 2)] ?? 0;
    if (index <= commitIndex) return;
    // Entries of earlier terms are committed only along with one of this term.
    if (store.termAt(index) !== this.member.term) return;
    this.member.advanceCommit(index, now);
    if (this.isEnded) return;
    this.settleReads();
    this.beat(now);
  }

  private settleReads(): void {
    if (!this.isSettled || this.reads.length === 0) return;
    const ready = this.reads.filter(read => this.isConfirmed(read.round));
    if (ready.length === 0) return;
    this.reads = this.reads.filter(read => !ready.includes(read));
    for (const {done} of ready) done(true);
  }

  private noteConfirmed(now: number): void {
    for (const [round, sentAt] of this.sentRounds) {
      if (this.isConfirmed(round)) {
        this.confirmed = Math.max(this.confirmed, sentAt);
        this.sentRounds.delete(round);
      } else if (now - sentAt > this.timing.ELECTION_TIMEOUT_MS) {
        this.sentRounds.delete(round);
      }
    }
  }

  private isConfirmed(round: number): boolean {
    return this.countVoters(p => p.round >= round);
  }

  private hasQuorum(now: number): boolean {
    return this.countVoters(
      p => now - p.heardAt < this.timing.ELECTION_TIMEOUT_MS,
    );
  }

  /** Whether a majority of the voters, this one included, passes the test. */
  private countVoters(test: (progress: MemberProgress) => boolean): boolean {
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
    const isVoter = (p: MemberProgress) =>
      store.members.voters.some(m => m.storage === p.id.storage);
    const [best] = [...this.progress.values()]
      .filter(p => isVoter(p) && p.id.storage !== id.storage)
      .sort((a, b) => b.match - a.match || b.heardAt - a.heardAt);
    if (!best || best.match < store.lastIndex) return;
    this.member.send<'timeout_now'>(best.id, {type: 'timeout_now'});
  }

  private syncProgress(now: number): void {
    const {store, id} = this.member;
    const {voters, learners} = store.members;
    const others = [...voters, ...learners].filter(
      m => m.storage !== id.storage,
    );
    for (const other of others) {
      if (this.progress.has(other.storage)) continue;
      const next = store.lastIndex + 1;
      this.progress.set(other.storage, new MemberProgress(other, next, now));
    }
    const kept = new Set(others.map(m => m.storage));
    for (const storage of [...this.progress.keys()]) {
      if (!kept.has(storage)) this.progress.delete(storage);
    }
  }
}
