import type {Result} from 'true-myth';
import type {LogEntry} from '../log/log_entry.js';
import type {LogSnapshot} from '../log/log_snapshot.js';
import type {Membership} from '../log/membership.js';
import type {Disk} from './disk.js';
import type {DiskError} from './disk_error.js';
import type {VoteState} from './vote_state.js';
import {LogFiles} from './log_files.js';

type LogRecord = Parameters<LogFiles['append']>[0][number];

const NO_MEMBERS: Membership = {voters: [], learners: []};

/**
 * Log, snapshot and persistent state of one member, in memory and on disk. One
 * disk write runs at a time; changes made during a write share the next one
 * (group commit).
 */
export class LogStore {
  private pendingRecords: LogRecord[] = [];
  private pendingTasks: Array<(now: number) => void> = [];
  private isWriting = false;
  /** Whether the next write must create a new segment. */
  private isRewriteDue = true;
  private isSnapshotDirty = false;
  private syncedIndex: number;
  /** Value of `syncedIndex` once the write in progress succeeds. */
  private writingIndex = 0;
  private syncedVoteState: VoteState | undefined;
  private error: DiskError | undefined;
  private membersCache: Membership | undefined;

  private constructor(
    private readonly disk: Disk,
    private readonly files: LogFiles,
    readonly storage: string,
    private currentVoteState: VoteState,
    private currentSnapshot: LogSnapshot | undefined,
    private entries: LogEntry[],
    private readonly onFailed: (error: DiskError, now: number) => void,
  ) {
    this.syncedIndex = currentSnapshot?.index ?? 0;
  }

  /**
   * Reads the log from the data folder; an empty folder gets `newStorageId` as
   * its id. The first write repeats the complete content and nothing counts as
   * durable before it, because after a failed sync or the end of a process the
   * content may exist in the page cache only.
   */
  static open(
    disk: Disk,
    newStorageId: string,
    onFailed: (error: DiskError, now: number) => void,
  ): Result<LogStore, string> {
    const files = new LogFiles(disk);
    return files.load().map(found => {
      const {storage, voteState, snapshot, entries} = found ?? {
        storage: newStorageId,
        voteState: {term: 0},
        snapshot: undefined,
        entries: [],
      };
      return new LogStore(
        disk,
        files,
        storage,
        voteState,
        snapshot,
        entries,
        onFailed,
      );
    });
  }

  get voteState(): VoteState {
    return this.currentVoteState;
  }

  get snapshot(): LogSnapshot | undefined {
    return this.currentSnapshot;
  }

  get baseIndex(): number {
    return this.currentSnapshot?.index ?? 0;
  }

  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** Highest index synced to disk. */
  get durableIndex(): number {
    return this.syncedIndex;
  }

  /** Whether the current log id, term and vote are synced to disk. */
  get isVoteSynced(): boolean {
    return this.syncedVoteState === this.currentVoteState;
  }

  get isFailed(): boolean {
    return this.error !== undefined;
  }

  /** Latest members in the log, committed or not. */
  get members(): Membership {
    this.membersCache ??= this.membersAt(this.lastIndex);
    return this.membersCache;
  }

  /** Index of the latest `members` entry; 0 if it is part of the snapshot. */
  get membersIndex(): number {
    return this.entries.findLast(e => e.body.kind === 'members')?.index ?? 0;
  }

  /** Members as of the entry at `index`, which must be in the log. */
  membersAt(index: number): Membership {
    const entry = this.entries.findLast(
      e => e.index <= index && e.body.kind === 'members',
    );
    if (entry?.body.kind === 'members') return entry.body.members;
    return this.currentSnapshot?.members ?? NO_MEMBERS;
  }

  /** Undefined if `index` is compacted into the snapshot or not in the log. */
  termAt(index: number): number | undefined {
    if (index === this.baseIndex) return this.currentSnapshot?.term ?? 0;
    return this.entry(index)?.term;
  }

  entry(index: number): LogEntry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  entriesFrom(index: number, limit: number): LogEntry[] {
    const at = index - this.baseIndex - 1;
    return this.entries.slice(at, at + limit);
  }

  /** Sets the log id, the term and the vote in this term. */
  setTerm(state: VoteState): void {
    this.currentVoteState = state;
    this.pendingRecords.push({kind: 'hard', hard: state});
  }

  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.entries.push(entry);
      this.pendingRecords.push({kind: 'entry', entry});
      if (entry.body.kind === 'members') this.membersCache = undefined;
    }
  }

  /** Removes the entries from index `from` on. */
  truncateFrom(from: number): void {
    this.entries.length = from - this.baseIndex - 1;
    this.pendingRecords.push({kind: 'cut', from});
    this.syncedIndex = Math.min(this.syncedIndex, from - 1);
    this.writingIndex = Math.min(this.writingIndex, from - 1);
    this.membersCache = undefined;
  }

  /**
   * Replaces the entries up to the snapshot's index by the snapshot. Also drops
   * the later ones if the log does not match the snapshot at its index.
   */
  compact(snapshot: LogSnapshot): void {
    const isKept = this.termAt(snapshot.index) === snapshot.term;
    this.entries = isKept
      ? this.entries.slice(snapshot.index - this.baseIndex)
      : [];
    if (!isKept) {
      this.syncedIndex = 0;
      this.writingIndex = 0;
    }
    this.currentSnapshot = snapshot;
    this.isSnapshotDirty = true;
    this.isRewriteDue = true;
    this.membersCache = undefined;
  }

  /**
   * Calls `task` once all changes made so far are synced to disk; never if the
   * disk fails.
   */
  whenDurable(task: (now: number) => void): void {
    this.pendingTasks.push(task);
    this.write();
  }

  private write(): void {
    if (this.isWriting || this.error) return;
    const tasks = this.pendingTasks;
    const voteState = this.currentVoteState;
    const ops = this.isRewriteDue
      ? this.files.rewrite(
          this.storage,
          voteState,
          this.entries,
          this.isSnapshotDirty ? this.currentSnapshot : undefined,
        )
      : this.files.append(this.pendingRecords);
    this.isRewriteDue = false;
    this.isSnapshotDirty = false;
    this.pendingRecords = [];
    this.pendingTasks = [];
    this.isWriting = true;
    this.writingIndex = this.lastIndex;
    this.disk.run(ops, (result, now) => {
      this.isWriting = false;
      if (result.isErr) {
        this.error = result.error;
        this.onFailed(result.error, now);
        return;
      }
      this.syncedVoteState = voteState;
      this.syncedIndex = Math.max(this.syncedIndex, this.writingIndex);
      for (const task of tasks) task(now);
      if (this.pendingTasks.length > 0) this.write();
    });
  }
}
