import type {Clock} from '../../clock/clock.js';
import type {InfeasibleJobs} from '../admission/infeasible_jobs.js';
import type {PoolAnswer} from './pool_answer.js';
import type {ActiveJob} from './active_job.js';
import {JobPhase} from './job_phase.js';
import type {PoolObserver} from '../pool_observer.js';
import type {PoolTask} from './pool_task.js';
import type {Run} from '../lease/run.js';
import {RecentStarts} from './recent_starts.js';
import {retryAfterMs} from '../admission/retry_after.js';

/** Time after which a backlog that makes jobs late is usually processed. */
const LATE_RETRY_MS = 2_000;
const DEADLINE_RETRY_MS = 1_000;
/** Another entry node can take a released job at once. */
const RELEASE_RETRY_MS = 0;

interface PoolJobsOptions {
  readonly clock: Clock;
  readonly infeasible: InfeasibleJobs;
  readonly answer: (owner: string, id: string, answer: PoolAnswer) => void;
  /** Whether a job may have run under another dispatcher. Default: none has. */
  readonly mayHaveRun?: (id: string) => boolean;
  readonly observer: PoolObserver;
}

/** Jobs of one dispatcher, kept until answered and without active runs. */
export class PoolJobs {
  private readonly byId = new Map<string, ActiveJob>();
  private readonly recentStarts = new RecentStarts();

  constructor(private readonly opts: PoolJobsOptions) {}

  get size(): number {
    return this.byId.size;
  }

  get all(): Iterable<ActiveJob> {
    return this.byId.values();
  }

  get(id: string): ActiveJob | undefined {
    return this.byId.get(id);
  }

  add(job: ActiveJob): void {
    this.byId.set(job.spec.id, job);
  }

  clear(): void {
    this.byId.clear();
  }

  taskOf(name: string): PoolTask | undefined {
    const id = name.slice(0, name.indexOf('.'));
    return this.byId.get(id)?.tasks.find(t => t.name === name);
  }

  /** Tasks of which these are the current runs. */
  tasksOf(runs: readonly Run[]): PoolTask[] {
    return runs.flatMap(run => {
      const task = this.taskOf(run.task);
      return task?.run === run ? [task] : [];
    });
  }

  /** Number of jobs of a queue without a started task. */
  pendingOf(queue: string): number {
    let count = 0;
    for (const job of this.all) {
      if (job.queue.name === queue && job.isPending) count += 1;
    }
    return count;
  }

  /**
   * Refuses a job of which no task has run. `clearInMs` is the expected time
   * until the reason of the refusal no longer applies; `job` is the job, if its
   * queue is known.
   */
  refuse(
    owner: string,
    id: string,
    reason: string,
    clearInMs: number,
    job?: ActiveJob,
  ): void {
    const {observer, answer, clock} = this.opts;
    const queue = job?.queue.name ?? '';
    const waitedMs = job ? clock.now() - job.arrivedAt : 0;
    if (this.mayHaveRun(id)) {
      // The caller has sent the job before and not received the answer.
      observer.recordJobEvent('job_given_up', id, {owner, reason});
      observer.recordResponseTime(queue, 'given_up', waitedMs, reason);
      answer(owner, id, {kind: 'given_up', reason: 'may have run before'});
      return;
    }
    const retryMs = retryAfterMs(id, clearInMs);
    observer.recordJobEvent('job_refused', id, {
      owner,
      queue: job?.queue.name,
      reason,
      open: this.size,
      waited_ms: job && Math.round(waitedMs),
      entry_ms: job && Math.round(job.acceptedAt - job.arrivedAt),
      clear_in_ms: Math.round(clearInMs),
      retry_after_ms: retryMs,
    });
    observer.incrementCounter(`refused_${reason}`);
    observer.recordResponseTime(queue, 'refused', waitedMs, reason);
    answer(owner, id, {kind: 'refused', reason, retryAfterMs: retryMs});
  }

  /** Removes a job, but not one that was submitted under its id since. */
  forget(job: ActiveJob): void {
    if (this.byId.get(job.spec.id) === job) this.byId.delete(job.spec.id);
  }

  /** Whether a task of the job may have run before the job was sent again. */
  mayHaveRun(id: string): boolean {
    return this.recentStarts.has(id) || (this.opts.mayHaveRun?.(id) ?? false);
  }

  /** Refuses a job that has not started and would be answered too late. */
  refuseLate(job: ActiveJob, clearInMs: number): void {
    if (job.isLent) this.opts.observer.incrementCounter('lent_refused');
    this.refuse(job.owner, job.spec.id, 'too_late', clearInMs, job);
    this.abandon(job);
  }

  /** Refuses a job of an entry node that is stopping, unless it may have run. */
  release(id: string, owner: string, reason: string): void {
    const job = this.byId.get(id);
    if (!job || job.owner !== owner || !job.isPending) return;
    this.refuse(owner, id, reason, RELEASE_RETRY_MS, job);
    this.abandon(job);
  }

  /** Stops the runs of a job whose answer is no longer awaited. */
  abandon(job: ActiveJob): void {
    job.isAbandoned = true;
    for (const {run, worker} of job.tasks) {
      if (run && worker) worker.stop(run);
    }
    this.removeIfFinished(job);
  }

  /** Answers a job that is done or has failed; called after each change. */
  finishIfDone(job: ActiveJob, now: number): void {
    if (job.isAbandoned) {
      this.removeIfFinished(job);
      return;
    }
    const {isDone, failureReason} = job;
    if (isDone || failureReason) this.finish(job, isDone, now);
  }

  /** Refuses infeasible jobs and ends jobs whose deadline has passed. */
  expire(now: number): void {
    this.recentStarts.expire(now);
    for (const job of this.opts.infeasible.find(this.all, now)) {
      this.refuseLate(job, LATE_RETRY_MS);
    }
    for (const job of [...this.all]) {
      if (job.isAbandoned || now < job.deadlineAt) continue;
      const {owner, spec} = job;
      if (job.hasStarted) {
        const {observer} = this.opts;
        const reason = 'deadline';
        const queue = job.queue.name;
        const waitedMs = now - job.arrivedAt;
        observer.recordJobEvent('job_expired', spec.id, {
          owner,
          queue,
          ...phasesOf(job),
        });
        observer.recordResponseTime(queue, 'given_up', waitedMs, reason);
        this.opts.answer(owner, spec.id, {kind: 'given_up', reason});
      } else this.refuse(owner, spec.id, 'deadline', DEADLINE_RETRY_MS, job);
      this.abandon(job);
    }
  }

  private removeIfFinished(job: ActiveJob): void {
    if (!job.isAbandoned || job.hasRuns) return;
    if (job.hasStarted || job.mayHaveRun) {
      this.recentStarts.record(job.spec.id, this.opts.clock.now());
    }
    this.forget(job);
  }

  private finish(job: ActiveJob, isDone: boolean, now: number): void {
    const {owner, spec, queue, arrivedAt, objectiveAt} = job;
    const kind = isDone ? 'completed' : 'failed';
    const {answer, observer} = this.opts;
    observer.recordJobEvent(`job_${kind}`, spec.id, {
      queue: queue.name,
      reason: isDone ? undefined : job.failureReason,
      took_ms: Math.round(now - arrivedAt),
      late_ms: Math.max(0, Math.round(now - objectiveAt)),
      ...phasesOf(job),
    });
    if (isDone) this.recordPhases(job, now);
    observer.recordResponseTime(queue.name, kind, now - arrivedAt);
    answer(owner, spec.id, {kind});
    this.abandon(job);
  }
  private recordPhases(job: ActiveJob, now: number): void {
    const {observer} = this.opts;
    const {acceptedAt, arrivedAt, firstStartAt, queue} = job;
    observer.recordPhase(queue.name, JobPhase.submit, acceptedAt - arrivedAt);
    if (firstStartAt === undefined) return;
    observer.recordPhase(queue.name, JobPhase.queue, firstStartAt - acceptedAt);
    observer.recordPhase(queue.name, JobPhase.run, now - firstStartAt);
  }
}

/** Time from the arrival of a job to its acceptance and to its first start. */
function phasesOf({acceptedAt, arrivedAt, firstStartAt}: ActiveJob) {
  return {
    entry_ms: Math.round(acceptedAt - arrivedAt),
    queued_ms:
      firstStartAt === undefined
        ? undefined
        : Math.round(firstStartAt - acceptedAt),
  };
}
