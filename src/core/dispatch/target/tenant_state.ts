import type {QueuedTask} from '../queued_task.js';
import {JobQueue} from './job_queue.js';
import {SlotCredit} from './slot_credit.js';

/** Memory is grouped in steps of a quarter of the next lower power of two. */
const STEPS_PER_DOUBLING = 4;

/** The work of one tenant in one class. */
export class TenantState {
  /** Slots held. */
  running = 0;
  /** Waiting tasks without removed ones. */
  live = 0;
  /** Position in the class's list of waiting tenants; -1 when not in it. */
  waitingAt = -1;
  readonly credit = new SlotCredit();
  readonly queues = new Map<string, JobQueue>();

  constructor(readonly name: string) {}

  get isIdle(): boolean {
    return this.live === 0 && this.running === 0;
  }

  /** Returns the time at which the task's job is due. */
  push(task: QueuedTask, dueOf: () => number): number {
    const shape = shapeOf(task);
    let queue = this.queues.get(shape);
    if (!queue) {
      queue = new JobQueue();
      this.queues.set(shape, queue);
    }
    this.live += 1;
    return queue.push(task, dueOf);
  }

  /** Returns the time at which the task's job was due. */
  removed(task: QueuedTask): number | undefined {
    const shape = shapeOf(task);
    const queue = this.queues.get(shape);
    const due = queue?.removed(task);
    if (!queue || due === undefined) return undefined;
    this.live -= 1;
    if (queue.live === 0) this.queues.delete(shape);
    return due;
  }

  /** Notes that a task was taken out of `queue`. */
  taken(task: QueuedTask, queue: JobQueue): void {
    this.live -= 1;
    if (queue.live === 0) this.queues.delete(shapeOf(task));
  }
}

/**
 * Tasks with equal shape need about equal resources, so that one task without
 * a fitting worker speaks for the others behind it.
 */
function shapeOf({memoryMb, accelerators}: QueuedTask): string {
  if (memoryMb === 0 && accelerators === 0) return '';
  const step = Math.ceil(Math.log2(1 + memoryMb) * STEPS_PER_DOUBLING);
  return `${step}/${accelerators}`;
}
