import type {Result} from 'true-myth';
import type {LogEntry} from '../log/log_entry.js';
import type {LogSnapshot} from '../log/log_snapshot.js';
import type {Membership} from '../log/membership.js';
import type {Disk} from './disk.js';
import type {DiskError} from './disk_error.js';
import type {PersistentState} from './persistent_state.js';
import {LogFiles} from './log_files.js';

type LogRecord = Parameters<LogFiles['append']>[0][number];

const NO_MEMBERS: Membership = {voters: [], learners: []};

/**
 * The log of one member: an image in memory, and the folder behind it. One
 * write runs at a time; all that arrives meanwhile shares the next one.
 */
export class LogStore {
  private pendingRecords: LogRecord[] = [];
  private pendingTasks: Array<(now: number) => void> = [];
  private isWriting = false;
  /** Set when the next write must be a new segment. */
  private isRewriteDue = true;
  private isSnapshotDirty = false;
  private syncedIndex: number;
  /** What `syncedIndex` becomes when the write under way succeeds. */
  private writingIndex = 0;
  private syncedState: PersistentState | undefined;
  private error: DiskError | undefined;
  private membersCache: Membership | undefined;

  private constructor(
    private readonly disk: Disk,
    private readonly files: LogFiles,
    readonly storage: string,
    private latestState: PersistentState,
    private currentSnapshot: LogSnapshot | undefined,
    private entries: LogEntry[],
    private readonly onFailed: (error: DiskError, now: number) => void,
  ) {
    this.syncedIndex = currentSnapshot?.index ?? 0;
  }

  /**
   * Reads the folder; an empty one gets `newStorage` as its id. Everything is
   * written anew before it counts: after a failed sync or the death of the
   * process, what was read may exist in the page cache only.
   */
  static open(
    disk: Disk,
    newStorageId: string,
    onFailed: (error: DiskError, now: number) => void,
  ): Result<LogStore, string> {
    const folder = new LogFiles(disk);
    return folder.load().map(found => {
      const {storage, persistentState, snapshot, entries} = found ?? {
        storage: newStorageId,
        persistentState: {term: 0},
        snapshot: undefined,
        entries: [],
      };
      return new LogStore(
        disk,
        folder,
        storage,
        persistentState,
        snapshot,
        entries,
        onFailed,
      );
    });
  }

  get persistentState(): PersistentState {
    return this.latestState;
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

  /** Highest index that is synced. */
  get durableIndex(): number {
    return this.syncedIndex;
  }

  /** Whether the term and the vote in memory are synced. */
  get isPersistentStateSynced(): boolean {
    return this.syncedState === this.latestState;
  }

  get isFailed(): boolean {
    return this.error !== undefined;
  }

  /** The newest membership in the log, committed or not. */
  get members(): Membership {
    this.membersCache ??= this.membersAt(this.lastIndex);
    return this.membersCache;
  }

  /** Index of the entry that set the membership; 0 if a snapshot did. */
  get membersIndex(): number {
    return this.entries.findLast(e => e.body.kind === 'members')?.index ?? 0;
  }

  /** The membership after the entry at `index`, which is in the log. */
  membersAt(index: number): Membership {
    const entry = this.entries.findLast(
      e => e.index <= index && e.body.kind === 'members',
    );
    if (entry?.body.kind === 'members') return entry.body.members;
    return this.currentSnapshot?.members ?? NO_MEMBERS;
  }

  /** Undefined for an index that is not in the log or within the snapshot. */
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

  setPersistentState(state: PersistentState): void {
    this.latestState = state;
    this.pendingRecords.push({kind: 'hard', hard: state});
  }

  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.entries.push(entry);
      this.pendingRecords.push({kind: 'entry', entry});
      if (entry.body.kind === 'members') this.membersCache = undefined;
    }
  }

  /** Voids the entries from `from` on. */
  truncateFrom(from: number): void {
    this.entries.length = from - this.baseIndex - 1;
    this.pendingRecords.push({kind: 'cut', from});
    this.syncedIndex = Math.min(this.syncedIndex, from - 1);
    this.writingIndex = Math.min(this.writingIndex, from - 1);
    this.membersCache = undefined;
  }

  /** Replaces the log up to the snapshot's index by the snapshot. */
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
   * Calls `task` once everything set so far is synced; never after a failure.
   */
  whenDurable(task: (now: number) => void): void {
    this.pendingTasks.push(task);
    this.write();
  }

  private write(): void {
    if (this.isWriting || this.error) return;
    const tasks = this.pendingTasks;
    const persistentState = this.latestState;
    const ops = this.isRewriteDue
      ? this.files.rewrite(
          this.storage,
          persistentState,
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
      this.syncedState = persistentState;
      this.syncedIndex = Math.max(this.syncedIndex, this.writingIndex);
      for (const task of tasks) task(now);
      if (this.pendingTasks.length > 0) this.write();
    });
  }
}
