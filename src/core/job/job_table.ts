import type {JobAnswer} from './job_answer.js';
import type {JobEvent} from './job_event.js';
import type {JobRecord} from './job_record.js';
import type {JobSpec} from './job_spec.js';
import {RunOutcome} from './run_outcome.js';

type Settled = Extract<JobEvent, {kind: 'settled'}>;

/**
 * Width of the time buckets that index the keys. A key outlives its retention
 * by less than this.
 */
const TIME_BUCKET_MS = 1_000;

/**
 * Replicated state of all jobs of a zone. Every member of the group applies the
 * same events in the same order, so that any of them can take over as leader.
 */
export class JobTable {
  private jobs = new Map<string, JobRecord>();
  /** Keys by creation time, in buckets of `TIME_BUCKET_MS`. */
  private readonly keysByTime = new Map<number, Set<string>>();

  get size(): number {
    return this.jobs.size;
  }

  get(key: string): JobRecord | undefined {
    return this.jobs.get(key);
  }

  records(): IterableIterator<JobRecord> {
    return this.jobs.values();
  }

  /**
   * Keys created before the bucket that contains `timeMs`. The cost depends on
   * the number of keys found, not on the size of the table.
   */
  *keysCreatedBefore(timeMs: number): Generator<string> {
    const end = bucketOf(timeMs);
    for (const [bucket, keys] of this.keysByTime) {
      if (bucket < end) yield* keys;
    }
  }

  /**
   * Applies a committed event and returns the job if the event ended it. An
   * event for an unknown job has no effect.
   */
  apply(event: JobEvent): JobRecord | undefined {
    switch (event.kind) {
      case 'accepted':
        this.accept(event.job);
        return undefined;
      case 'barrier':
        return undefined;
      case 'expired':
        for (const key of event.keys) this.expire(key);
        return undefined;
      default: {
        const job = this.jobs.get(event.key);
        if (!job) return undefined;
        const wasRunning = isRunning(job);
        this.applyTo(job, event);
        dropEndedTasks(job);
        return wasRunning && !isRunning(job) ? job : undefined;
      }
    }
  }

  /** Result or progress of a job, as of the last committed event. */
  answer(job: JobRecord): JobAnswer {
    const key = job.spec.key;
    if (job.status === 'running') {
      return {
        status: 'running',
        key,
        done: job.succeeded,
        total: job.tasks.length,
      };
    }
    if (job.status === 'complete') {
      return {status: 'complete', key, results: job.results};
    }
    const {status, reason, final = outcomeOf(job)} = job;
    return {status, key, reason, ...final};
  }

  /** Records for a member that catches up; they are not copied. */
  snapshot(): readonly JobRecord[] {
    return [...this.jobs.values()];
  }

  restore(records: readonly JobRecord[]): void {
    this.jobs = new Map(records.map(job => [job.spec.key, job]));
    this.keysByTime.clear();
    for (const {spec} of records) this.indexByTime(spec);
  }

  private indexByTime({key, keyTimeMs}: JobSpec): void {
    const bucket = bucketOf(keyTimeMs);
    const keys = this.keysByTime.get(bucket);
    if (keys) keys.add(key);
    else this.keysByTime.set(bucket, new Set([key]));
  }

  private expire(key: string): void {
    const job = this.jobs.get(key);
    if (!job) return;
    this.jobs.delete(key);
    const bucket = bucketOf(job.spec.keyTimeMs);
    const keys = this.keysByTime.get(bucket);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByTime.delete(bucket);
  }

  private accept(spec: JobSpec): void {
    // The event may be committed a second time after a change of leader.
    if (this.jobs.has(spec.key)) return;
    this.indexByTime(spec);
    this.jobs.set(spec.key, {
      spec,
      tasks: spec.tasks.map(() => ({
        open: undefined,
        started: false,
        last: undefined,
        final: false,
      })),
      results: [],
      openAttempts: 0,
      status: 'running',
      reason: '',
      final: undefined,
      succeeded: 0,
      finishedAt: undefined,
      acknowledged: false,
    });
  }

  private applyTo(
    job: JobRecord,
    event: Exclude<JobEvent, {kind: 'accepted' | 'expired' | 'barrier'}>,
  ): void {
    switch (event.kind) {
      case 'intent': {
        const task = job.tasks[event.task];
        // The dispatcher sends no start if the job ended before the intent.
        if (!task || task.final || job.status !== 'running') return;
        const {attempt, worker, incarnation} = event;
        if (!task.open) job.openAttempts += 1;
        task.open = {attempt, worker, incarnation};
        return;
      }
      case 'settled':
        this.settle(job, event);
        return;
      case 'cancelled':
        finish(job, 'cancelled', 'cancelled by the caller', event.at);
        return;
      case 'failed':
        finish(job, 'failed', event.reason, event.at);
        return;
      case 'acknowledged':
        job.acknowledged = job.status !== 'running';
        return;
    }
  }

  private settle(job: JobRecord, event: Settled): void {
    const task = job.tasks[event.task];
    if (!task || task.open?.attempt !== event.attempt) return;
    task.open = undefined;
    job.openAttempts -= 1;
    task.last = event.outcome;
    task.final = event.final;
    task.started ||= event.outcome.kind !== 'never_started';
    if (event.outcome.kind === 'succeeded') {
      job.succeeded += 1;
      if (job.succeeded === job.tasks.length) {
        finish(job, 'complete', '', event.at);
      }
      return;
    }
    if (event.final) {
      const reason = `task ${event.task}: ${describe(event)}`;
      finish(job, 'failed', reason, event.at);
    }
  }
}

function isRunning(job: JobRecord): boolean {
  return job.status === 'running';
}

function bucketOf(timeMs: number): number {
  return Math.floor(timeMs / TIME_BUCKET_MS);
}

/**
 * Frees the task records and payloads of an ended job without attempts in
 * progress. Ended jobs are kept until their retention ends, so they make up
 * nearly all of the table.
 */
function dropEndedTasks(job: JobRecord): void {
  if (isRunning(job) || job.openAttempts > 0 || job.tasks.length === 0) return;
  if (job.status === 'complete') {
    job.results = job.tasks.map(({last}) =>
      last?.kind === 'succeeded' ? last.result : undefined,
    );
  }
  job.tasks = [];
  job.spec = {...job.spec, tasks: []};
}

/** Ends a running job; the first final status is never overwritten. */
function finish(
  job: JobRecord,
  status: JobRecord['status'],
  reason: string,
  at: number,
): void {
  if (job.status !== 'running') return;
  job.status = status;
  job.reason = reason;
  job.final = outcomeOf(job);
  job.finishedAt = at;
}

function outcomeOf(job: JobRecord): NonNullable<JobRecord['final']> {
  const started = job.tasks.filter(task => task.started || task.open).length;
  const isUnknown = job.tasks.some(
    task => task.open || task.last?.kind === 'unknown',
  );
  if (isUnknown) return {outcome: RunOutcome.unknown, started};
  const outcome = started > 0 ? RunOutcome.failed : RunOutcome.notRun;
  return {outcome, started};
}

function describe({outcome}: Settled): string {
  switch (outcome.kind) {
    case 'failed':
      return outcome.error;
    case 'never_started':
    case 'unknown':
      return outcome.reason;
    default:
      return outcome.kind;
  }
}
