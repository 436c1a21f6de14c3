import type {ActiveJob} from '../job/active_job.js';
import type {PoolTask} from '../job/pool_task.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {Run} from '../lease/run.js';
import type {PoolObserver} from '../pool_observer.js';
import {StartGrounds} from './start_grounds.js';

/** Maximum number of runs that one log line lists. */
const MAX_LISTED_RUNS = 12;

/** Why a job may start although an earlier dispatcher had it. */
interface Settlement {
  /** Lowest token that a worker has accepted; infinite without workers. */
  readonly acceptedToken: number;
  /** Number of workers that the dispatcher knows, and their zones. */
  readonly workers: number;
  readonly zones: readonly string[];
}

/**
 * Logs what a dispatcher does with tasks that have run before or may have run
 * elsewhere. The first runs of ordinary tasks are far too many for the log.
 */
export class RunTrace {
  constructor(
    /** Current fencing token. */
    private readonly token: () => number,
    private readonly observer: PoolObserver,
  ) {}

  /** Logs a start, unless no other run of the task can exist. */
  recordStart(task: PoolTask, worker: LeasedWorker, now: number): void {
    const {lastRun, job, run} = task;
    if (!run || (!lastRun && !job.isTraced)) return;
    run.isTraced = true;
    this.observer.recordJobEvent('run_restarted', job.spec.id, {
      task: task.name,
      run: run.number,
      worker: worker.report.id,
      token: this.token(),
      grounds: groundsOf(task),
      contact_age_ms: Number.isFinite(job.contactAt)
        ? Math.round(now - job.contactAt)
        : undefined,
      earlier_node: job.earlierNode,
      ...(lastRun && {
        earlier_run: lastRun.number,
        earlier_worker: lastRun.worker,
        earlier_how: lastRun.how,
        earlier_cause: lastRun.cause,
        earlier_sent_ms_ago: Math.round(now - lastRun.sentAt),
        earlier_over_ms_ago: Math.round(now - lastRun.endedAt),
      }),
    });
  }

  /** Logs that a run of an earlier dispatcher is continued. */
  recordAdopted(task: PoolTask, worker: LeasedWorker, run: number): void {
    const {job} = task;
    this.observer.recordJobEvent('run_adopted', job.spec.id, {
      task: task.name,
      run,
      worker: worker.report.id,
      token: this.token(),
      earlier_node: job.earlierNode,
    });
  }

  /** Logs that a task is done, as a run of an earlier dispatcher shows. */
  recordAdoptedEnd(task: PoolTask): void {
    this.observer.recordJobEvent('run_end_adopted', task.job.spec.id, {
      task: task.name,
      token: this.token(),
    });
  }

  /** Logs that a job no longer waits for runs of an earlier dispatcher. */
  recordSettled(job: ActiveJob, known: Settlement, now: number): void {
    const {acceptedToken, workers, zones} = known;
    this.observer.recordJobEvent('job_settled', job.spec.id, {
      token: this.token(),
      grounds: job.settledBy,
      waited_ms: Math.round(now - job.acceptedAt),
      accepted_token: Number.isFinite(acceptedToken)
        ? acceptedToken
        : undefined,
      earlier_token: job.earlierToken,
      earlier_node: job.earlierNode,
      workers,
      zones,
    });
  }

  /** Logs a start order without a reply, which the worker may execute late. */
  recordUnanswered(
    task: PoolTask | undefined,
    {report}: LeasedWorker,
    run: Run,
  ): void {
    if (!task) return;
    run.isTraced = true;
    this.observer.recordJobEvent('start_unanswered', task.job.spec.id, {
      task: run.task,
      run: run.number,
      worker: report.id,
      token: this.token(),
      is_refused: run.isStartRefused,
      lease_end: run.startLeaseEnd,
    });
  }

  /**
   * Logs an active run that this dispatcher does not have although the task has
   * run here: the run was taken for over, or it was not known.
   */
  recordInherited(
    task: PoolTask | undefined,
    {report}: LeasedWorker,
    run: number,
  ): void {
    if (!task) return;
    const hasRun = task.run || task.lastRun || task.state === 'done';
    if (!hasRun) return;
    const {run: current, worker, lastRun, job} = task;
    this.observer.recordJobEvent('run_resurfaced', job.spec.id, {
      task: task.name,
      run,
      worker: report.id,
      token: this.token(),
      current_run: current?.number,
      current_worker: worker?.report.id,
      earlier_run: lastRun?.number,
      earlier_how: lastRun?.how,
      earlier_cause: lastRun?.cause,
    });
  }

  /** Logs runs of an earlier dispatcher that are stopped without a job. */
  recordUnclaimed({report}: LeasedWorker, runs: readonly Run[]): void {
    for (const {task, number} of runs) {
      const job = task.slice(0, task.indexOf('.'));
      this.observer.recordJobEvent('run_unclaimed', job, {
        task,
        run: number,
        worker: report.id,
        token: this.token(),
      });
    }
  }

  /** Logs the active runs of a job that this dispatcher no longer follows. */
  recordLeft(job: ActiveJob, now: number): void {
    const runs = listRuns(job, now);
    if (runs.count === 0) return;
    this.observer.recordJobEvent('job_left', job.spec.id, {
      owner: job.owner,
      token: this.token(),
      ...runs,
    });
  }

  /** Logs that another entry node submits a job that is known. */
  recordSentAgain(job: ActiveJob, node: string, now: number): void {
    if (job.owner !== node) this.recordHeldTwice(job, node, now);
  }

  /** Logs that another entry node than the owner has had the same job. */
  recordUnclear(job: ActiveJob, node: string, now: number): void {
    const isHeldTwice = job.owner !== node && !job.isAbandoned;
    if (isHeldTwice) this.recordHeldTwice(job, node, now);
  }

  private recordHeldTwice(job: ActiveJob, other: string, now: number): void {
    job.isTraced = true;
    this.observer.recordJobEvent('job_held_twice', job.spec.id, {
      owner: job.owner,
      other,
      token: this.token(),
      accepted_ms_ago: Math.round(now - job.acceptedAt),
      was_dropped: job.isAbandoned,
      ...listRuns(job, now),
    });
  }
}

function groundsOf({lastRun, job}: PoolTask): StartGrounds {
  if (lastRun) return StartGrounds.runOver;
  if (job.settledBy) return job.settledBy;
  return job.earlierNode === undefined
    ? StartGrounds.sentAgain
    : StartGrounds.dispatcherChanged;
}

/** Active runs of a job, of which not all may be listed. */
function listRuns(job: ActiveJob, now: number) {
  const active = job.tasks.flatMap(({run, worker}) =>
    run && worker ? [{run, worker}] : [],
  );
  const runs = active.slice(0, MAX_LISTED_RUNS).map(({run, worker}) => ({
    task: run.task,
    run: run.number,
    worker: worker.report.id,
    sent_ms_ago: Math.round(now - run.sentAt),
  }));
  return {count: active.length, runs};
}
