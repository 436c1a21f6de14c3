import type {WorkerState} from '../worker/worker_state.js';
import type {Admission} from './admission.js';
import type {Assignment} from './assignment.js';
import {DispatchPolicy} from './dispatch_policy.js';
import type {FleetView} from './fleet_view.js';
import type {QueuedTask} from './queued_task.js';

/** Bounds the memory of a queue that admits everything else. */
const MAX_QUEUED = 1_000_000;
const RETRY_AFTER_MS = 1_000;
/** How many blocked tasks at the head are passed over in one search. */
const MAX_SKIPPED = 64;
const COMPACT_AT = 1_024;

/**
 * First come first served, on the worker with the least outstanding tasks: the
 * baseline that other policies are measured against.
 */
export class FifoPolicy extends DispatchPolicy {
  private queue: QueuedTask[] = [];
  private head = 0;
  private live = 0;

  override admit(): Admission {
    if (this.live < MAX_QUEUED) return {admitted: true};
    return {
      admitted: false,
      detail: 'the queue is full',
      retryAfterMs: RETRY_AFTER_MS,
    };
  }

  override enqueue(task: QueuedTask): void {
    this.queue.push(task);
    this.live += 1;
  }

  override discarded(): void {
    this.live -= 1;
  }

  override reset(): void {
    this.queue = [];
    this.head = 0;
    this.live = 0;
  }

  override get queued(): number {
    return this.live;
  }

  override next(fleet: FleetView): Assignment | undefined {
    this.dropRemoved();
    const end = Math.min(this.queue.length, this.head + MAX_SKIPPED);
    for (let at = this.head; at < end; at += 1) {
      const task = this.queue[at]!;
      if (task.removed) continue;
      const worker = leastOutstanding(task, fleet.startable);
      if (!worker) continue;
      this.take(at);
      return {task, worker};
    }
    return undefined;
  }

  private take(at: number): void {
    this.live -= 1;
    if (at === this.head) {
      this.head += 1;
    } else {
      this.queue.splice(at, 1);
    }
  }

  private dropRemoved(): void {
    while (this.queue[this.head]?.removed) this.head += 1;
    if (this.head < COMPACT_AT) return;
    this.queue = this.queue.slice(this.head);
    this.head = 0;
  }
}

function leastOutstanding(
  task: QueuedTask,
  workers: readonly WorkerState[],
): WorkerState | undefined {
  let best: WorkerState | undefined;
  for (const worker of workers) {
    if (worker.freeSlots === 0 || !worker.serves(task.className)) continue;
    if (!worker.hasCapacityFor(task.memoryMb, task.accelerators)) continue;
    if (!best || rank(worker, task) < rank(best, task)) best = worker;
  }
  return best;
}

function rank(worker: WorkerState, task: QueuedTask): number {
  const avoided = worker.id === task.avoid ? worker.announcement.slots : 0;
  return worker.outstanding + avoided;
}
