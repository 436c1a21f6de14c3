import type {QueuedTask} from '../queued_task.js';

/** The waiting tasks of one job that need equal resources. */
export class JobEntry {
  /** Waiting tasks without removed ones. */
  live = 0;
  private tasks: QueuedTask[] = [];
  private head = 0;

  constructor(
    readonly key: string,
    readonly submittedAt: number,
    /** Epoch milliseconds; the queue serves the earliest first. */
    readonly due: number,
  ) {}

  push(task: QueuedTask): void {
    this.tasks.push(task);
    this.live += 1;
  }

  /** The next waiting task; it stays in the entry. */
  peek(): QueuedTask | undefined {
    while (this.tasks[this.head]?.removed) this.head += 1;
    return this.tasks[this.head];
  }

  /** Takes out the task that `peek` gave. */
  shift(): void {
    this.head += 1;
    this.live -= 1;
  }

  /** Drops references to removed tasks of an entry that has no live ones. */
  clear(): void {
    this.tasks = [];
    this.head = 0;
  }
}
