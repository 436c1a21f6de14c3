import type {JobAnswer} from './job_answer.js';
import type {JobEvent} from './job_event.js';
import type {JobRecord} from './job_record.js';
import type {JobSpec} from './job_spec.js';
import {RunOutcome} from './run_outcome.js';

type Settled = Extract<JobEvent, {kind: 'settled'}>;

/** Keys outlive their retention by less than this. */
const TIME_BUCKET_MS = 1_000;

/**
 * Replicated state of every job of a zone. All members of the group apply the
 * same events in the same order, so that any of them can take over.
 */
export class JobTable {
  private jobs = new Map<string, JobRecord>();
  /** Keys by the time in them, in steps of `AGE_STEP_MS`. */
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
   * Keys whose time lies in a step that ended before `timeMs`. The cost grows
   * with the keys found, not with the size of the table.
   */
  *keysCreatedBefore(timeMs: number): Generator<string> {
    const end = bucketOf(timeMs);
    for (const [step, keys] of this.keysByTime) {
      if (step < end) yield* keys;
    }
  }

  /**
   * Applies a committed event; an event about an unknown job has no effect.
   * Returns the job if the event ended it.
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

  /** The answer to a job as far as it is committed. */
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

  /** Plain data for a member that catches up. */
  snapshot(): readonly JobRecord[] {
    return [...this.jobs.values()];
  }

  restore(records: readonly JobRecord[]): void {
    this.jobs = new Map(records.map(job => [job.spec.key, job]));
    this.keysByTime.clear();
    for (const {spec} of records) this.indexByTime(spec);
  }

  private indexByTime({key, keyTimeMs}: JobSpec): void {
    const step = bucketOf(keyTimeMs);
    const keys = this.keysByTime.get(step);
    if (keys) keys.add(key);
    else this.keysByTime.set(step, new Set([key]));
  }

  private expire(key: string): void {
    const job = this.jobs.get(key);
    if (!job) return;
    this.jobs.delete(key);
    const step = bucketOf(job.spec.keyTimeMs);
    const keys = this.keysByTime.get(step);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByTime.delete(step);
  }

  private accept(spec: JobSpec): void {
    // A group may replay an accepted event after a change of leader.
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
        // No start follows an intent that comes after the end of its job.
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
 * Drops what an ended job needs no more. Ended jobs are kept for the whole
 * retention, so they make up nearly all of the table.
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

/** The first final state of a job stands; later events do not change it. */
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
