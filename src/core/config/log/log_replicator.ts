import type {LogMember} from './log_member.js';
import type {ReplicationProgress} from './replication_progress.js';

/**
 * Entries of one message. A member that lacks more gets a snapshot of the newest state,
 * however long the log is.
 */
const MAX_ENTRIES_PER_MESSAGE = 64;

/** Sends heartbeats, entries and snapshots, one batch at a time to each member. */
export class LogReplicator {
  private lastRound = 0;

  constructor(private readonly member: LogMember) {}

  /** Number of the latest message; replies repeat it. */
  get round(): number {
    return this.lastRound;
  }

  /** Begins a heartbeat round. */
  nextRound(): number {
    this.lastRound += 1;
    return this.lastRound;
  }

  /** Sends what the member lacks, or a heartbeat while a batch is on its way. */
  replicate(progress: ReplicationProgress): void {
    const {store} = this.member;
    const {nextIndex, isInFlight} = progress;
    const lacked = store.lastIndex - nextIndex + 1;
    if (isInFlight || lacked <= 0) return this.sendEntries(progress, 0);
    const isFarBehind =
      nextIndex <= store.baseIndex || lacked > MAX_ENTRIES_PER_MESSAGE;
    if (isFarBehind && this.member.commitIndex >= nextIndex) {
      return this.sendSnapshot(progress);
    }
    this.sendEntries(progress, MAX_ENTRIES_PER_MESSAGE);
  }

  private sendSnapshot(progress: ReplicationProgress): void {
    this.markInFlight(progress);
    this.member.send<'snapshot'>(progress.id, {
      type: 'snapshot',
      snapshot: this.member.createSnapshot(),
      round: this.round,
    });
  }

  private sendEntries(progress: ReplicationProgress, limit: number): void {
    const {member} = this;
    const {store, commitIndex} = member;
    const prevIndex = Math.max(progress.nextIndex - 1, store.baseIndex);
    const entries = store.entriesFrom(prevIndex + 1, limit);
    if (entries.length > 0) this.markInFlight(progress);
    progress.sentCommitIndex = Math.min(
      commitIndex,
      prevIndex + entries.length,
    );
    member.send<'append'>(progress.id, {
      type: 'append',
      prev_index: prevIndex,
      prev_term: store.termAt(prevIndex) ?? 0,
      ...(entries.length > 0 ? {entries} : {}),
      commit: commitIndex,
      round: this.round,
    });
  }

  /** Gives the batch a number of its own, by which its reply is known. */
  private markInFlight(progress: ReplicationProgress): void {
    progress.inFlightRound = this.nextRound();
  }
}
