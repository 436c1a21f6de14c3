import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {RetryPolicy} from '../retry/retry_policy.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {ActiveJob} from './active_job.js';

/**
 * Pauses before the next try of a task that workers refuse. The first refusal
 * costs nothing; a fleet that refuses everything sees about one try a second.
 */
const FIRST_PAUSE_MS = 25;
const MAX_PAUSE_MS = 1_000;

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

/** Gives tasks another attempt, after a pause if workers refuse them. */
export class TaskRetrier {
  private entries: Entry[] = [];

  constructor(private readonly opts: TaskRetrierOptions) {}

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

  /** Queues the task again, at once or after a pause. */
  retry(
    job: ActiveJob,
    {task, worker}: RunningAttempt,
    {kind}: AttemptOutcome,
    now: number,
  ): void {
    const refusals = kind === 'never_started' ? job.countRefusal(task) : 0;
    if (refusals <= 1) {
      this.opts.enqueue(job, task, worker);
      return;
    }
    const pause = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (refusals - 2));
    job.paused.add(task);
    this.entries.push({job, index: task, avoid: worker, dueAt: now + pause});
  }

  /** Queues the tasks whose pause is over and whose job goes on. */
  tick(now: number): void {
    const {entries} = this;
    if (entries.length === 0) return;
    this.entries = entries.filter(({job, index, dueAt}) => {
      return dueAt > now && job.paused.has(index);
    });
    for (const {job, index, avoid, dueAt} of entries) {
      if (dueAt > now || !job.paused.delete(index)) continue;
      this.opts.enqueue(job, index, avoid);
    }
  }

  reset(): void {
    this.entries = [];
  }
}
