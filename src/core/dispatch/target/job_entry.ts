import type {QueuedTask} from '../queued_task.js';

/** Queued tasks of one job with equal resource requirements. */
export class JobEntry {
  /** Number of queued tasks, without removed ones. */
  queued = 0;
  private tasks: QueuedTask[] = [];
  private head = 0;

  constructor(
    readonly key: string,
    readonly submittedAt: number,
    /** Epoch milliseconds; see {@link JobOrder.getDueTime}. */
    readonly dueTime: number,
  ) {}

  push(task: QueuedTask): void {
    this.tasks.push(task);
    this.queued += 1;
  }

  /** Returns the next queued task without taking it out. */
  peek(): QueuedTask | undefined {
    while (this.tasks[this.head]?.removed) this.head += 1;
    return this.tasks[this.head];
  }

  /** Takes out the task that `peek` returned. */
  shift(): void {
    this.head += 1;
    this.queued -= 1;
  }

  /** Releases the references to removed tasks of an entry without others. */
  clear(): void {
    this.tasks = [];
    this.head = 0;
  }
}
