import type {GroupEntry} from './group_entry.js';

/** Entries of a group in memory, after those that every member holds. */
export class GroupLog {
  private entries: GroupEntry[] = [];

  /** Starts after a snapshot; everything up to its index is committed. */
  constructor(
    private baseIndex: number,
    private baseEpoch: number,
  ) {
    this.commit = baseIndex;
  }

  /** Index of the last committed entry. */
  commit: number;

  /** Index before the first entry held. */
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

  /** Epoch of an entry; undefined if it is not held. */
  epochAt(index: number): number | undefined {
    if (index === this.baseIndex) return this.baseEpoch;
    return this.at(index)?.epoch;
  }

  /** Up to `max` entries from `index` on. */
  entriesFrom(index: number, max = Infinity): GroupEntry[] {
    const start = index - this.baseIndex - 1;
    return this.entries.slice(start, start + max);
  }

  push(entry: GroupEntry): void {
    this.entries.push(entry);
  }

  /** Adds entries that follow a matching one; replaces conflicting ones. */
  merge(entries: readonly GroupEntry[]): void {
    for (const entry of entries) {
      if (entry.index <= this.commit) continue;
      if (this.epochAt(entry.index) === entry.epoch) continue;
      this.entries.length = entry.index - this.baseIndex - 1;
      this.entries.push(entry);
    }
  }

  /** Whether a log that ends so may lack something committed that is here. */
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
