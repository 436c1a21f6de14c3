import type {QueuedTask} from '../queued_task.js';
import {JobEntry} from './job_entry.js';

/** Empty entries that are kept before a compaction removes them. */
const MIN_EMPTY = 64;

/**
 * Queued jobs of one class and tenant with about equal resource requirements.
 * A job leaves the queue when its last task is taken or removed. Removal only
 * decrements counts; a compaction removes empty entries once they outnumber the
 * others.
 */
export class JobQueue {
  /** Number of queued tasks, without removed ones. */
  queued = 0;
  /** Id of the last search that found no worker with capacity for a task. */
  blockedInSearch = 0;
  /** Number of entries visited by compactions so far; for tests. */
  compactionVisits = 0;
  private readonly entries = new Map<string, JobEntry>();
  /** Min-heap by due time. */
  private heap: JobEntry[] = [];
  /** Entries in order of arrival, from `arrivalHead` on. */
  private arrivals: JobEntry[] = [];
  private arrivalHead = 0;

  /** Number of entries in memory, including empty ones; for tests. */
  get allocatedEntries(): number {
    return Math.max(this.heap.length, this.arrivals.length);
  }

  /** Returns the due time of the job; `getDueTime` is called once per job. */
  push(task: QueuedTask, getDueTime: () => number): number {
    let entry = this.entries.get(task.key);
    if (!entry) {
      entry = new JobEntry(task.key, task.submittedAt, getDueTime());
      this.entries.set(task.key, entry);
      this.arrivals.push(entry);
      this.heap.push(entry);
      this.siftUp(this.heap.length - 1);
    }
    entry.push(task);
    this.queued += 1;
    return entry.dueTime;
  }

  /**
   * Updates the counts after a queued task was marked as `removed`. Returns the
   * due time of its job, or undefined if the job is not queued.
   */
  removed(task: QueuedTask): number | undefined {
    const entry = this.entries.get(task.key);
    if (!entry) return undefined;
    this.queued -= 1;
    entry.queued -= 1;
    this.removeIfEmpty(entry);
    return entry.dueTime;
  }

  /** Job that arrived first. */
  get oldest(): JobEntry | undefined {
    const {arrivals} = this;
    while (arrivals[this.arrivalHead]?.queued === 0) this.arrivalHead += 1;
    return arrivals[this.arrivalHead];
  }

  /** Job with the earliest due time. */
  get earliest(): JobEntry | undefined {
    while (this.heap[0]?.queued === 0) this.popHeap();
    return this.heap[0];
  }

  /** Takes out the task that the `peek` of the entry returned. */
  take(entry: JobEntry): void {
    entry.shift();
    this.queued -= 1;
    this.removeIfEmpty(entry);
  }

  private removeIfEmpty(entry: JobEntry): void {
    if (entry.queued > 0) return;
    entry.clear();
    this.entries.delete(entry.key);
    const count = this.entries.size;
    if (this.heap.length > 2 * count + MIN_EMPTY) this.compactHeap();
    if (this.arrivals.length > 2 * count + MIN_EMPTY) {
      this.compactionVisits += this.arrivals.length;
      this.arrivals = this.arrivals.filter(hasQueuedTasks);
      this.arrivalHead = 0;
    }
  }

  private compactHeap(): void {
    this.compactionVisits += this.heap.length;
    this.heap = this.heap.filter(hasQueuedTasks);
    for (let at = (this.heap.length >> 1) - 1; at >= 0; at -= 1) {
      this.siftDown(at);
    }
  }

  private popHeap(): void {
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown(0);
  }

  private siftUp(from: number): void {
    const {heap} = this;
    const entry = heap[from]!;
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (heap[parent]!.dueTime <= entry.dueTime) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = entry;
  }

  private siftDown(from: number): void {
    const {heap} = this;
    const entry = heap[from]!;
    let at = from;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      if (
        child + 1 < heap.length &&
        heap[child + 1]!.dueTime < heap[child]!.dueTime
      ) {
        child += 1;
      }
      if (heap[child]!.dueTime >= entry.dueTime) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = entry;
  }
}

function hasQueuedTasks(entry: JobEntry): boolean {
  return entry.queued > 0;
}
