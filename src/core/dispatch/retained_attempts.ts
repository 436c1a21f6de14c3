/**
 * Time for which a worker must retain the record that an attempt never started:
 * the start may still be in transit on another connection. TCP aborts a
 * connection with unacknowledged data after about 15 minutes.
 */
const TOMBSTONE_MS = 20 * 60_000;
/** Most ids per message; the remaining ids are sent with the next one. */
const MAX_IDS = 4_096;

interface WorkerEntries {
  /** Ids that the worker may discard but has not confirmed as discarded. */
  readonly ready: Set<string>;
  /** Tombstones by the epoch milliseconds at which they may be discarded. */
  readonly later: Array<{readonly id: string; readonly at: number}>;
}

/** Ended attempts whose records workers still retain. */
export class RetainedAttempts {
  private readonly workers = new Map<string, WorkerEntries>();

  /** Adds an attempt that has ended and has no start in transit. */
  addDiscardable(worker: string, attempt: string): void {
    this.entriesOf(worker).ready.add(attempt);
  }

  /** Adds an attempt that never started but whose start may still arrive. */
  addTombstone(worker: string, attempt: string, now: number): void {
    const at = now + TOMBSTONE_MS;
    this.entriesOf(worker).later.push({id: attempt, at});
  }

  /** Ids for the worker to discard; repeated until `confirmDiscarded`. */
  getDiscardable(worker: string, now: number): string[] {
    const entries = this.workers.get(worker);
    if (!entries) return [];
    const {ready, later} = entries;
    while (later[0] && later[0].at <= now) ready.add(later.shift()!.id);
    const ids: string[] = [];
    for (const id of ready) {
      if (ids.length === MAX_IDS) break;
      ids.push(id);
    }
    return ids;
  }

  confirmDiscarded(worker: string, attempts: readonly string[]): void {
    const entries = this.workers.get(worker);
    if (!entries) return;
    for (const id of attempts) entries.ready.delete(id);
    const isEmpty = entries.ready.size === 0 && entries.later.length === 0;
    if (isEmpty) this.workers.delete(worker);
  }

  /** Drops the entries of a worker process that has ended. */
  removeWorker(worker: string): void {
    this.workers.delete(worker);
  }

  clear(): void {
    this.workers.clear();
  }

  private entriesOf(worker: string): WorkerEntries {
    let entries = this.workers.get(worker);
    if (!entries) {
      entries = {ready: new Set(), later: []};
      this.workers.set(worker, entries);
    }
    return entries;
  }
}
