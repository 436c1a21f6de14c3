import type {QueuedTask} from '../queued_task.js';
import {BurstCredit} from './burst_credit.js';
import {JobQueue} from './job_queue.js';

/** Number of memory size groups between a size and its double. */
const STEPS_PER_DOUBLING = 4;

/** Queues and slot usage of one tenant in one class. */
export class TenantState {
  /** Number of slots that the tenant holds. */
  running = 0;
  /** Number of queued tasks, without removed ones. */
  queued = 0;
  /** Index in {@link ClassState.waitingTenants}; -1 if absent. */
  waitingIndex = -1;
  readonly burstCredit = new BurstCredit();
  /** By group of resource requirements. */
  readonly queues = new Map<string, JobQueue>();

  constructor(readonly name: string) {}

  get isIdle(): boolean {
    return this.queued === 0 && this.running === 0;
  }

  /** Returns the due time of the task's job. */
  push(task: QueuedTask, getDueTime: () => number): number {
    const group = resourceGroupOf(task);
    let queue = this.queues.get(group);
    if (!queue) {
      queue = new JobQueue();
      this.queues.set(group, queue);
    }
    this.queued += 1;
    return queue.push(task, getDueTime);
  }

  /**
   * Updates the counts after a queued task was marked as `removed`. Returns the
   * due time of its job, or undefined if the task was not queued.
   */
  removed(task: QueuedTask): number | undefined {
    const group = resourceGroupOf(task);
    const queue = this.queues.get(group);
    const dueTime = queue?.removed(task);
    if (!queue || dueTime === undefined) return undefined;
    this.queued -= 1;
    if (queue.queued === 0) this.queues.delete(group);
    return dueTime;
  }

  /** Updates the counts after a task was taken out of `queue`. */
  taken(task: QueuedTask, queue: JobQueue): void {
    this.queued -= 1;
    if (queue.queued === 0) this.queues.delete(resourceGroupOf(task));
  }
}

/**
 * Group of tasks with about equal resource requirements. If no worker has
 * capacity for one of them, the search skips the others.
 */
function resourceGroupOf({memoryMb, accelerators}: QueuedTask): string {
  if (memoryMb === 0 && accelerators === 0) return '';
  const step = Math.ceil(Math.log2(1 + memoryMb) * STEPS_PER_DOUBLING);
  return `${step}/${accelerators}`;
}
