import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {RetryPolicy} from '../retry/retry_policy.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {ActiveJob} from './active_job.js';

/**
 * Exponential backoff of a task that workers refuse. The first retry is
 * immediate; if all workers refuse, there is about one attempt per second.
 */
const INITIAL_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 1_000;

interface Entry {
  readonly job: ActiveJob;
  readonly index: number;
  readonly avoid: string;
  readonly dueAt: number;
}

interface TaskRetrierOptions {
  readonly retry: RetryPolicy;
  readonly enqueue: (job: ActiveJob, index: number, avoid: string) => void;
}

/** Retries tasks, with a backoff if workers refuse them repeatedly. */
export class TaskRetrier {
  private entries: Entry[] = [];

  constructor(private readonly opts: TaskRetrierOptions) {}

  /** Whether to retry the task; counts the attempt if it ran. */
  shouldRetry(
    job: ActiveJob,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
  ): boolean {
    const {retry} = this.opts;
    const {className} = attempt;
    const ran = outcome.kind !== 'never_started';
    if (ran) retry.recordStart(className);
    return retry.shouldRetry({
      className,
      outcome,
      repeatable: job.isRepeatable,
      started: ran ? job.countStart(attempt.task) : 0,
    });
  }

  /** Queues the task again, immediately or after a backoff. */
  retry(
    job: ActiveJob,
    {task, worker}: RunningAttempt,
    {kind}: AttemptOutcome,
    now: number,
  ): void {
    if (kind !== 'never_started') job.resetRefusals(task);
    const refusals = kind === 'never_started' ? job.countRefusal(task) : 0;
    if (refusals <= 1) {
      this.opts.enqueue(job, task, worker);
      return;
    }
    const delayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (refusals - 2),
    );
    job.inBackoff.add(task);
    this.entries.push({job, index: task, avoid: worker, dueAt: now + delayMs});
  }

  /** Queues the tasks whose backoff has ended, unless their job has ended. */
  tick(now: number): void {
    const {entries} = this;
    if (entries.length === 0) return;
    this.entries = entries.filter(({job, index, dueAt}) => {
      return dueAt > now && job.inBackoff.has(index);
    });
    for (const {job, index, avoid, dueAt} of entries) {
      if (dueAt > now || !job.inBackoff.delete(index)) continue;
      this.opts.enqueue(job, index, avoid);
    }
  }

  reset(): void {
    this.entries = [];
  }
}
