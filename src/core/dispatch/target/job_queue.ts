import type {QueuedTask} from '../queued_task.js';
import {JobEntry} from './job_entry.js';

/** Dead entries kept before they are dropped in one go. */
const MIN_GARBAGE = 64;

/**
 * The waiting jobs of one class and tenant whose tasks need equal resources.
 * Jobs leave when their last task is taken or removed. A removal only counts;
 * dead entries are dropped when they outnumber the live ones.
 */
export class JobQueue {
  /** Waiting tasks without removed ones. */
  live = 0;
  /** Search in which no worker had room for the head; see `TargetPolicy`. */
  blockedIn = 0;
  /** Entries visited to drop dead ones so far; for tests. */
  visited = 0;
  private readonly entries = new Map<string, JobEntry>();
  /** Binary heap by due time. */
  private heap: JobEntry[] = [];
  /** In order of arrival. */
  private arrivals: JobEntry[] = [];
  private arrivalHead = 0;

  /** Entries held in memory, dead ones included; for tests. */
  get held(): number {
    return Math.max(this.heap.length, this.arrivals.length);
  }

  /** `dueOf` is called once for each job; the result is returned. */
  push(task: QueuedTask, dueOf: () => number): number {
    let entry = this.entries.get(task.key);
    if (!entry) {
      entry = new JobEntry(task.key, task.submittedAt, dueOf());
      this.entries.set(task.key, entry);
      this.arrivals.push(entry);
      this.heap.push(entry);
      this.siftUp(this.heap.length - 1);
    }
    entry.push(task);
    this.live += 1;
    return entry.due;
  }

  /** Notes that a waiting task was marked as removed; returns its due time. */
  removed(task: QueuedTask): number | undefined {
    const entry = this.entries.get(task.key);
    if (!entry) return undefined;
    this.live -= 1;
    entry.live -= 1;
    this.dropIfDead(entry);
    return entry.due;
  }

  /** The job that arrived first. */
  get oldest(): JobEntry | undefined {
    const {arrivals} = this;
    while (arrivals[this.arrivalHead]?.live === 0) this.arrivalHead += 1;
    return arrivals[this.arrivalHead];
  }

  /** The job with the earliest due time. */
  get earliest(): JobEntry | undefined {
    while (this.heap[0]?.live === 0) this.popHeap();
    return this.heap[0];
  }

  /** Takes out the task that the entry's `peek` gave. */
  take(entry: JobEntry): void {
    entry.shift();
    this.live -= 1;
    this.dropIfDead(entry);
  }

  private dropIfDead(entry: JobEntry): void {
    if (entry.live > 0) return;
    entry.clear();
    this.entries.delete(entry.key);
    const live = this.entries.size;
    if (this.heap.length > 2 * live + MIN_GARBAGE) this.compactHeap();
    if (this.arrivals.length > 2 * live + MIN_GARBAGE) {
      this.visited += this.arrivals.length;
      this.arrivals = this.arrivals.filter(isLive);
      this.arrivalHead = 0;
    }
  }

  private compactHeap(): void {
    this.visited += this.heap.length;
    this.heap = this.heap.filter(isLive);
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
      if (heap[parent]!.due <= entry.due) break;
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
      if (child + 1 < heap.length && heap[child + 1]!.due < heap[child]!.due) {
        child += 1;
      }
      if (heap[child]!.due >= entry.due) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = entry;
  }
}

function isLive(entry: JobEntry): boolean {
  return entry.live > 0;
}
