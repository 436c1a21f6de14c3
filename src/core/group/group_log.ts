import type {GroupEntry} from './group_entry.js';

/** In-memory log of a group. Entries that every member holds are trimmed. */
export class GroupLog {
  private entries: GroupEntry[] = [];

  /** Creates a log that follows a snapshot with this last index and epoch. */
  constructor(
    private baseIndex: number,
    private baseEpoch: number,
  ) {
    this.commit = baseIndex;
  }

  /** Index of the last committed entry. */
  commit: number;

  /** Index of the last trimmed entry. */
  get base(): number {
    return this.baseIndex;
  }

  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  get lastEpoch(): number {
    return this.entries.at(-1)?.epoch ?? this.baseEpoch;
  }

  at(index: number): GroupEntry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /**
   * Epoch of an entry; undefined if the entry was trimmed or does not exist.
   */
  epochAt(index: number): number | undefined {
    if (index === this.baseIndex) return this.baseEpoch;
    return this.at(index)?.epoch;
  }

  /** Up to `max` entries, starting at `index`. */
  entriesFrom(index: number, max = Infinity): GroupEntry[] {
    const start = index - this.baseIndex - 1;
    return this.entries.slice(start, start + max);
  }

  push(entry: GroupEntry): void {
    this.entries.push(entry);
  }

  /**
   * Adds entries that follow a matching entry. Conflicting entries and all that
   * follow them are replaced.
   */
  merge(entries: readonly GroupEntry[]): void {
    for (const entry of entries) {
      if (entry.index <= this.commit) continue;
      if (this.epochAt(entry.index) === entry.epoch) continue;
      this.entries.length = entry.index - this.baseIndex - 1;
      this.entries.push(entry);
    }
  }

  /**
   * Whether this log is more up to date than one that ends with `lastIndex` and
   * `lastEpoch`, which may then lack committed entries of this one.
   */
  isAheadOf(lastIndex: number, lastEpoch: number): boolean {
    if (this.lastEpoch !== lastEpoch) return this.lastEpoch > lastEpoch;
    return this.lastIndex > lastIndex;
  }

  /** Drops committed entries up to `index`. */
  trim(index: number): void {
    const end = Math.min(index, this.commit);
    const epoch = this.epochAt(end);
    if (end <= this.baseIndex || epoch === undefined) return;
    this.entries = this.entries.slice(end - this.baseIndex);
    this.baseIndex = end;
    this.baseEpoch = epoch;
  }
}
