import type {ClassConfig} from '../config/class_config.js';
import type {JobSpec} from '../job/job_spec.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {QueuedTask} from './queued_task.js';

/** A dispatcher's working state of a job that still has tasks to run or stop. */
export class ActiveJob {
  /** Tasks that wait for a slot, by task index. */
  readonly queued = new Map<number, QueuedTask>();
  /** Attempts that hold a slot, by attempt id. */
  readonly attempts = new Map<string, RunningAttempt>();
  /** Tasks that wait out a pause before they are queued again. */
  readonly paused = new Set<number>();
  /** Refusals in a row, by task index. */
  readonly refusals = new Map<number, number>();
  /** Attempts that ran or may have, by task index. */
  readonly starts = new Map<number, number>();
  /** True once the job is complete, failed or cancelled. */
  ended = false;
  /** Since when no known worker could hold one of its tasks. */
  unplaceableSince: number | undefined;

  constructor(
    readonly spec: JobSpec,
    readonly config: ClassConfig,
  ) {}

  /** Whether class and request both allow a second attempt. */
  get isRepeatable(): boolean {
    return this.config.repeatable && this.spec.repeatable;
  }

  /** True when nothing of the job waits or runs any more. */
  get isIdle(): boolean {
    return (
      this.queued.size === 0 &&
      this.attempts.size === 0 &&
      this.paused.size === 0
    );
  }

  /** Makes the queue entry of one task. */
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

  countRefusal(index: number): number {
    const count = (this.refusals.get(index) ?? 0) + 1;
    this.refusals.set(index, count);
    return count;
  }

  countStart(index: number): number {
    const count = (this.starts.get(index) ?? 0) + 1;
    this.starts.set(index, count);
    return count;
  }
}
