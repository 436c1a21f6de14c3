import type {JobAnswer} from './job_answer.js';
import type {JobEvent} from './job_event.js';
import type {JobRecord} from './job_record.js';
import type {JobSpec} from './job_spec.js';
import {RunOutcome} from './run_outcome.js';

type Settled = Extract<JobEvent, {kind: 'settled'}>;

/**
 * Replicated state of every job of a zone. All members of the group apply the
 * same events in the same order, so that any of them can take over.
 */
export class JobTable {
  private jobs = new Map<string, JobRecord>();

  get size(): number {
    return this.jobs.size;
  }

  get(key: string): JobRecord | undefined {
    return this.jobs.get(key);
  }

  records(): IterableIterator<JobRecord> {
    return this.jobs.values();
  }

  /** Applies a committed event; an event about an unknown job has no effect. */
  apply(event: JobEvent): void {
    switch (event.kind) {
      case 'accepted':
        this.accept(event.job);
        return;
      case 'barrier':
        return;
      case 'expired':
        for (const key of event.keys) this.jobs.delete(key);
        return;
      default: {
        const job = this.jobs.get(event.key);
        if (job) this.applyTo(job, event);
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
      const results = job.tasks.map(task =>
        task.last?.kind === 'succeeded' ? task.last.result : undefined,
      );
      return {status: 'complete', key, results};
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
  }

  private accept(spec: JobSpec): void {
    // A group may replay an accepted event after a change of leader.
    if (this.jobs.has(spec.key)) return;
    this.jobs.set(spec.key, {
      spec,
      tasks: spec.tasks.map(() => ({
        open: undefined,
        started: false,
        last: undefined,
        final: false,
      })),
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
