import type {WorkerState} from '../worker/worker_state.js';
import type {Admission} from './admission.js';
import type {Assignment} from './assignment.js';
import {DispatchPolicy} from './dispatch_policy.js';
import type {FleetView} from './fleet_view.js';
import type {QueuedTask} from './queued_task.js';

/** Limits the memory of the queue, which has no other admission control. */
const MAX_QUEUED = 1_000_000;
const RETRY_AFTER_MS = 1_000;
/** Number of entries at the head that one search examines. */
const MAX_SKIPPED = 64;
/** Number of consumed entries at which the queue array is compacted. */
const COMPACT_AT = 1_024;

/**
 * First come, first served, on the worker with the fewest outstanding tasks:
 * the baseline for comparison with other policies.
 */
export class FifoPolicy extends DispatchPolicy {
  private queue: QueuedTask[] = [];
  private head = 0;
  private queuedTasks = 0;

  override admit(): Admission {
    if (this.queuedTasks < MAX_QUEUED) return {admitted: true};
    return {
      admitted: false,
      detail: `the queue has reached its limit of ${MAX_QUEUED} tasks`,
      retryAfterMs: RETRY_AFTER_MS,
    };
  }

  override enqueue(task: QueuedTask): void {
    this.queue.push(task);
    this.queuedTasks += 1;
  }

  override removed(): void {
    this.queuedTasks -= 1;
  }

  override reset(): void {
    this.queue = [];
    this.head = 0;
    this.queuedTasks = 0;
  }

  override get queued(): number {
    return this.queuedTasks;
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
    this.queuedTasks -= 1;
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
