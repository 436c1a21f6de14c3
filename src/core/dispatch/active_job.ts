import type {ClassConfig} from '../config/class_config.js';
import type {JobSpec} from '../job/job_spec.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {QueuedTask} from './queued_task.js';

/** In-memory state of a job that still has tasks to run or to stop. */
export class ActiveJob {
  /** Tasks that wait for a slot, by task index. */
  readonly queued = new Map<number, QueuedTask>();
  /** Attempts that hold a slot, by attempt id. */
  readonly attempts = new Map<string, RunningAttempt>();
  /** Indices of tasks that are queued again after a backoff. */
  readonly inBackoff = new Set<number>();
  /** Number of starts that workers refused, by task index. */
  readonly refusals = new Map<number, number>();
  /** Number of attempts that ran or may have run, by task index. */
  readonly starts = new Map<number, number>();
  /** Whether the job is complete, failed or cancelled. */
  ended = false;
  /** Epoch ms since when a task has fitted no registered worker. */
  unplaceableSince: number | undefined;

  constructor(
    readonly spec: JobSpec,
    readonly config: ClassConfig,
  ) {}

  /** Whether both the class and the request allow another attempt. */
  get isRepeatable(): boolean {
    return this.config.repeatable && this.spec.repeatable;
  }

  /** Whether no task of the job is queued, running or in backoff. */
  get isIdle(): boolean {
    return (
      this.queued.size === 0 &&
      this.attempts.size === 0 &&
      this.inBackoff.size === 0
    );
  }

  /** Creates the queue entry of one task. */
  queueTask(index: number, avoid?: string): QueuedTask {
    const task = this.spec.tasks[index];
    const queued: QueuedTask = {
      key: this.spec.key,
      index,
      className: this.spec.className,
      tenant: this.spec.tenant,
      memoryMb: task?.memory_mb ?? this.config.memory_mb,
      accelerators: task?.accelerators ?? this.config.accelerators,
      submittedAt: this.spec.submittedAt,
      jobSize: this.spec.tasks.length,
      config: this.config,
      repeatable: this.isRepeatable,
      avoid,
      removed: false,
    };
    this.queued.set(index, queued);
    return queued;
  }

  /** Forgets the refusals of a task after an attempt that a worker took. */
  resetRefusals(index: number): void {
    this.refusals.delete(index);
  }

  /** Increments and returns the number of refusals of a task. */
  countRefusal(index: number): number {
    const count = (this.refusals.get(index) ?? 0) + 1;
    this.refusals.set(index, count);
    return count;
  }

  /** Increments and returns the number of starts of a task. */
  countStart(index: number): number {
    const count = (this.starts.get(index) ?? 0) + 1;
    this.starts.set(index, count);
    return count;
  }
}
