import type {Clock} from '../../clock/clock.js';
import type {InfeasibleJobs} from '../admission/infeasible_jobs.js';
import type {PoolAnswer} from './pool_answer.js';
import type {ActiveJob} from './active_job.js';
import type {PoolObserver} from '../pool_observer.js';
import type {Predecessor} from '../outcome/predecessor.js';
import type {StartProof} from '../outcome/start_proof.js';
import type {PoolTask} from './pool_task.js';
import type {Run} from '../lease/run.js';
import {RecentStarts} from './recent_starts.js';
import {retryAfterMs} from '../admission/retry_after.js';

/** Time after which a backlog that makes jobs late is usually processed. */
const LATE_RETRY_MS = 2_000;
const DEADLINE_RETRY_MS = 1_000;

interface PoolJobsOptions {
  readonly clock: Clock;
  readonly infeasible: InfeasibleJobs;
  readonly answer: (owner: string, id: string, answer: PoolAnswer) => void;
  readonly observer: PoolObserver;
  /** What is known of the starts of earlier dispatchers. */
  readonly predecessor?: Predecessor | undefined;
  readonly proof: Pick<StartProof, 'isOpen' | 'isProved' | 'isInDoubt'>;
}

/** Jobs of one dispatcher, kept until answered and without active runs. */
export class PoolJobs {
  private readonly byId = new Map<string, ActiveJob>();
  private readonly recentStarts = new RecentStarts();

  constructor(private readonly opts: PoolJobsOptions) {
    const started = opts.predecessor?.startedJobs ?? [];
    for (const id of started) this.recordStart(id);
  }

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
   * until the reason of the refusal no longer applies.
   */
  refuse(owner: string, id: string, reason: string, clearInMs: number): void {
    const {observer, answer, proof} = this.opts;
    const isKnown = this.recentStarts.has(id);
    if (isKnown || proof.isInDoubt(this.opts.clock.now())) {
      return this.giveUp(owner, id, {reason, proved: isKnown});
    }
    const {isProved} = proof;
    const retryMs = retryAfterMs(id, clearInMs);
    observer.recordJobEvent('job_refused', id, {
      owner,
      reason,
      open: this.size,
      clear_in_ms: Math.round(clearInMs),
      retry_after_ms: retryMs,
      proved: isProved,
    });
    observer.incrementCounter(`refused_${reason}`);
    const retryAfter = {retryAfterMs: retryMs, isProved};
    answer(owner, id, {kind: 'refused', reason, ...retryAfter});
  }

  /** Records that a task of the job was started, here or by another dispatcher. */
  recordStart(id: string): void {
    this.recentStarts.record(id, this.opts.clock.now());
  }

  /**
   * Gives up a job instead of turning it away: it may have run before, since its
   * caller has sent it again or its entry node has changed the dispatcher.
   */
  private giveUp(
    owner: string,
    id: string,
    fields: {readonly reason: string; readonly proved: boolean},
  ): void {
    // A resubmission after this answer is as doubtful.
    this.recordStart(id);
    this.opts.observer.recordJobEvent('job_given_up', id, {owner, ...fields});
    const reason = 'may have run before';
    this.opts.answer(owner, id, {kind: 'given_up', reason});
  }

  /** Refuses a job that has not started and would be answered too late. */
  refuseLate(job: ActiveJob, clearInMs: number): void {
    this.refuse(job.owner, job.spec.id, 'too_late', clearInMs);
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
    // The workers' replies decide what a refusal can say.
    if (!this.opts.proof.isOpen) {
      for (const job of this.opts.infeasible.find(this.all, now)) {
        this.refuseLate(job, LATE_RETRY_MS);
      }
    }
    for (const job of [...this.all]) {
      if (job.isAbandoned || now < job.deadlineAt) continue;
      const {owner, spec} = job;
      if (job.hasStarted) {
        this.opts.observer.recordJobEvent('job_expired', spec.id, {owner});
        const reason = 'deadline';
        this.opts.answer(owner, spec.id, {kind: 'given_up', reason});
      } else this.refuse(owner, spec.id, 'deadline', DEADLINE_RETRY_MS);
      this.abandon(job);
    }
  }

  private removeIfFinished(job: ActiveJob): void {
    if (!job.isAbandoned || job.hasRuns) return;
    if (job.hasStarted) this.recordStart(job.spec.id);
    this.byId.delete(job.spec.id);
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
    });
    observer.recordResponseTime(queue.name, kind, now - arrivedAt);
    answer(owner, spec.id, {kind});
    this.abandon(job);
  }
}
