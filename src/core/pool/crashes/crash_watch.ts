import type {ActiveJob} from '../job/active_job.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import {LossCause} from '../lease/loss_cause.js';
import type {PoolObserver} from '../pool_observer.js';
import type {PoolTask} from '../job/pool_task.js';
import type {RunLoss} from '../lease/run_loss.js';
import type {WorkerReport} from '../registry/worker_report.js';
import {CrashPolicy} from './crash_policy.js';
import type {WorkerLoss} from './worker_loss.js';

/** Time for which the losses of an ended job are kept for a resubmission. */
const RETENTION_MS = 60_000;
/** Interval at which the fleet is searched for lost workers. */
const RESOLVE_INTERVAL_MS = 100;
/** Limit of jobs whose losses are kept. */
const MAX_JOBS = 1_000;

/** What became of a lost worker. */
type Fate = 'crashed' | 'survived' | 'unknown';

interface Remembered {
  readonly losses: readonly WorkerLoss[];
  readonly until: number;
}

interface CrashWatchOptions {
  readonly observer: PoolObserver;
  /** Sends the owner of a job all losses of the job. */
  readonly reportLosses: (
    owner: string,
    id: string,
    losses: readonly WorkerLoss[],
  ) => void;
}

/**
 * Finds the tasks that crash their workers. A worker that refuses connections or
 * runs another process has crashed; a silent one may have been cut off. What is
 * assumed is corrected when the worker replies again or when another process
 * appears at its address.
 */
export class CrashWatch {
  /** Jobs with tasks under which a worker was lost. */
  private readonly watched = new Set<ActiveJob>();
  private readonly remembered = new Map<string, Remembered>();
  private nextResolve = 0;

  constructor(private readonly opts: CrashWatchOptions) {}

  /** Records that a worker was lost while it ran these tasks. */
  record(
    {id, address, isDraining}: WorkerReport,
    tasks: readonly PoolTask[],
    {cause, bornAt, isRefused}: RunLoss,
    now: number,
  ): void {
    // A worker that has announced its departure ends its runs, and one that does
    // not list a run is alive.
    if (isDraining || cause === LossCause.notListed) return;
    const isCrashed = isRefused || cause === LossCause.restarted;
    for (const task of blamedOf(tasks, isCrashed)) {
      const {name, job} = task;
      const hasStarted = task.run?.confirmedAt !== undefined;
      const loss = {task: name, worker: id, address, bornAt};
      task.losses = withLoss(task.losses, {...loss, hasStarted, isCrashed});
      this.opts.observer.recordJobEvent('task_suspected', job.spec.id, {
        task: name,
        worker: id,
        is_crash: isCrashed,
        has_started: hasStarted,
        workers_lost: task.losses.length,
      });
      this.watched.add(job);
      this.onChanged(job, now);
    }
  }

  /** Assigns losses under an earlier dispatcher or submission to their tasks. */
  restore(job: ActiveJob, reported: readonly WorkerLoss[]): void {
    const known = this.remembered.get(job.spec.id)?.losses ?? [];
    for (const loss of [...reported, ...known]) {
      const task = job.tasks.find(t => t.name === loss.task);
      if (!task) continue;
      task.losses = withLoss(task.losses, loss);
      job.recordStart();
      this.watched.add(job);
    }
  }

  /**
   * Finds out what became of lost workers. Returns the jobs with tasks that may be
   * started again or that are given up.
   */
  resolve(workers: readonly LeasedWorker[], now: number): ActiveJob[] {
    if (now < this.nextResolve) return [];
    this.nextResolve = now + RESOLVE_INTERVAL_MS;
    this.forget(now);
    if (this.watched.size === 0) return [];
    const byId = new Map(workers.map(w => [w.report.id, w]));
    const byAddress = new Map(workers.map(w => [w.report.address, w]));
    const changed: ActiveJob[] = [];
    for (const job of this.watched) {
      const fateOf = (loss: WorkerLoss) =>
        findFate(loss, byId.get(loss.worker), byAddress.get(loss.address));
      const isChanged = this.resolveJob(job, fateOf);
      if (!isChanged) continue;
      this.onChanged(job, now);
      changed.push(job);
    }
    return changed;
  }

  private resolveJob(
    job: ActiveJob,
    fateOf: (loss: WorkerLoss) => Fate,
  ): boolean {
    let isChanged = false;
    for (const task of job.tasks) {
      const losses = task.losses.flatMap(loss => {
        const fate = fateOf(loss);
        const isKnown = fate === 'crashed' && loss.isCrashed;
        if (fate === 'unknown' || isKnown) return [loss];
        isChanged = true;
        this.opts.observer.recordJobEvent('suspicion_resolved', job.spec.id, {
          task: task.name,
          worker: loss.worker,
          fate,
        });
        return fate === 'crashed' ? [{...loss, isCrashed: true}] : [];
      });
      if (losses.length > 0 || task.losses.length > 0) task.losses = losses;
    }
    return isChanged;
  }

  private onChanged(job: ActiveJob, now: number): void {
    const losses = job.tasks.flatMap(t => t.losses);
    const {id} = job.spec;
    this.remembered.delete(id);
    this.remembered.set(id, {losses, until: now + RETENTION_MS});
    this.opts.reportLosses(job.owner, id, losses);
  }

  /** Forgets what is too old, and the oldest of what is too much. */
  private forget(now: number): void {
    for (const [id, {until}] of this.remembered) {
      if (until > now && this.remembered.size <= MAX_JOBS) break;
      this.remembered.delete(id);
    }
    for (const job of this.watched) {
      const isKept = !job.isAbandoned || this.remembered.has(job.spec.id);
      if (!isKept) this.watched.delete(job);
    }
  }
}

/** Adds a loss; one of the same process replaces what was known of it. */
function withLoss(
  losses: readonly WorkerLoss[],
  loss: WorkerLoss,
): readonly WorkerLoss[] {
  const {worker, bornAt} = loss;
  const isSame = (l: WorkerLoss) => l.worker === worker && l.bornAt === bornAt;
  return [...losses.filter(l => !isSame(l)), loss];
}

/**
 * Tasks that may have crashed a worker: those under which another one crashed
 * before, if there are any, else all. The others are excused, but only once: a
 * new task that crashes its workers may start beside an innocent suspect.
 */
function blamedOf(
  tasks: readonly PoolTask[],
  isCrashed: boolean,
): readonly PoolTask[] {
  const hasSuspect = tasks.some(t => CrashPolicy.isSuspect(t.losses));
  if (!isCrashed || !hasSuspect) return tasks;
  return tasks.filter(task => {
    if (CrashPolicy.isSuspect(task.losses)) return true;
    task.excusedCrashes += 1;
    return task.excusedCrashes > 1;
  });
}

/** What became of a lost worker, from the workers that report now. */
function findFate(
  {worker, bornAt}: WorkerLoss,
  sameId: LeasedWorker | undefined,
  sameAddress: LeasedWorker | undefined,
): Fate {
  const isLater = (w: LeasedWorker | undefined) =>
    w !== undefined && w.report.bornAt > bornAt;
  if (isLater(sameId)) return 'crashed';
  if (sameAddress?.report.id !== worker && isLater(sameAddress)) {
    return 'crashed';
  }
  return sameId?.isFenced && !sameId.isSilent ? 'survived' : 'unknown';
}
