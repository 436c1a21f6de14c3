/**
 * Time for which a worker must remember that an attempt never started: its
 * start may still be on the way over another connection. TCP gives up on
 * unacknowledged data after about 15 minutes.
 */
const TOMBSTONE_MS = 20 * 60_000;
/** Bounds one message; the rest follows with the next. */
const MAX_IDS = 4_096;

interface WorkerEntries {
  /** Attempts that the worker may forget now, until it has confirmed that. */
  readonly ready: Set<string>;
  /** Attempts that it may forget later, in order of time. */
  readonly later: Array<{readonly id: string; readonly at: number}>;
}

/** Ended attempts whose records a worker still keeps. */
export class ForgetList {
  private readonly workers = new Map<string, WorkerEntries>();

  /** The outcome is stored, and no start of the attempt is on the way. */
  add(worker: string, attempt: string): void {
    this.entriesOf(worker).ready.add(attempt);
  }

  /** The attempt never started, but its start may still arrive. */
  addTombstone(worker: string, attempt: string, now: number): void {
    const at = now + TOMBSTONE_MS;
    this.entriesOf(worker).later.push({id: attempt, at});
  }

  /** What to tell the worker now; repeated until `confirm`. */
  due(worker: string, now: number): string[] {
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

  confirm(worker: string, attempts: readonly string[]): void {
    const entries = this.workers.get(worker);
    if (!entries) return;
    for (const id of attempts) entries.ready.delete(id);
    const isEmpty = entries.ready.size === 0 && entries.later.length === 0;
    if (isEmpty) this.workers.delete(worker);
  }

  /** The worker process is gone, and with it its records. */
  drop(worker: string): void {
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
