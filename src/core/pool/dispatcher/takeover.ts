import type {LeasedWorker} from '../lease/leased_worker.js';
import type {ActiveJob} from '../job/active_job.js';
import {Run} from '../lease/run.js';
import {RunEnd} from '../lease/run_end.js';
import type {PoolTask} from '../job/pool_task.js';
import type {PoolObserver} from '../pool_observer.js';
import type {RunTrace} from '../trace/run_trace.js';

/** Tolerance for slow clocks of workers and timers that fire late. */
const LEASE_SLACK_MS = 100;
/** Time within which entry nodes resubmit their open jobs. */
const RESUBMISSION_MS = 700;
/**
 * Time after its report within which a job must claim a run. The lease of its
 * worker is not extended meanwhile and until the run has been stopped; 330 ms of it
 * are left if the earlier dispatcher closed before a poll.
 */
const CLAIM_MS = 200;
/** Time within which all workers report to a new dispatcher. */
const WORKER_DISCOVERY_MS = 4_000;

interface TakeoverOptions {
  readonly startedAt: number;
  /** Longest time that leases of earlier dispatchers may still last, in ms. */
  readonly leasesMs: number;
  readonly isRegistryComplete: boolean;
  /** See PoolDispatcherOptions. */
  readonly knowsWorkersOf?:
    ((token: number, handedOverAt: number) => boolean) | undefined;
  /** Fencing token of the dispatcher when it was opened. */
  readonly token: number;
  readonly trace: RunTrace;
  readonly observer: PoolObserver;
}

/**
 * Takeover from earlier dispatchers, in the first seconds of a new one. Their
 * runs are adopted by resubmitted jobs or stopped, and nothing is started while
 * runs may be active that have not been reported.
 */
export class Takeover {
  private readonly ends = new Map<string, RunEnd>();
  private over = false;
  private isStartRecorded = false;

  constructor(private readonly opts: TakeoverOptions) {}

  /** Whether each run of earlier dispatchers is known or has ended. */
  mayStart(workers: readonly LeasedWorker[], now: number): boolean {
    if (this.over) return true;
    const {startedAt, leasesMs, isRegistryComplete} = this.opts;
    if (now - startedAt > leasesMs + LEASE_SLACK_MS) return true;
    if (!isRegistryComplete) return false;
    return workers.every(w => w.isFenced);
  }

  /** Whether the workers have reported each run of earlier dispatchers. */
  areRunsReported(workers: readonly LeasedWorker[]): boolean {
    if (this.over) return true;
    return this.opts.isRegistryComplete && workers.every(w => w.isFenced);
  }

  /** Logs once on which grounds the dispatcher starts its first task. */
  recordFirstStart(workers: readonly LeasedWorker[], now: number): void {
    if (this.isStartRecorded) return;
    this.isStartRecorded = true;
    const {token, startedAt, leasesMs, isRegistryComplete} = this.opts;
    const fenced = workers.filter(w => w.isFenced).length;
    const areReported = isRegistryComplete && fenced === workers.length;
    this.opts.observer.recordStateChange('starts_allowed', {
      token,
      grounds: areReported ? 'runs_reported' : 'leases_over',
      after_ms: Math.round(now - startedAt),
      earlier_leases_ms: Math.round(leasesMs),
      workers: workers.length,
      fenced,
      is_registry_complete: isRegistryComplete,
    });
  }

  /** Ends the wait of jobs whose runs under earlier dispatchers are known. */
  settle(
    jobs: readonly ActiveJob[],
    workers: readonly LeasedWorker[],
    now: number,
  ): void {
    const settling = jobs.filter(job => job.isSettling);
    if (settling.length === 0) return;
    const acceptedToken = lowestAcceptedToken(workers);
    const zones = [...new Set(workers.map(({report}) => report.zone))].sort();
    const known = {acceptedToken, workers: workers.length, zones};
    for (const job of settling) {
      const isKnown = this.knowsWorkersBefore(job);
      job.settle(isKnown ? acceptedToken : 0, now);
      if (!job.isSettling) this.opts.trace.recordSettled(job, known, now);
    }
  }

  /** Whether no worker is missing on which a job may have been started. */
  private knowsWorkersBefore({earlierToken, acceptedAt}: ActiveJob): boolean {
    const {isRegistryComplete, knowsWorkersOf} = this.opts;
    if (!knowsWorkersOf) return isRegistryComplete;
    return (
      earlierToken !== undefined && knowsWorkersOf(earlierToken, acceptedAt)
    );
  }

  /** Whether enough time has passed for all workers to have reported. */
  areWorkersKnown(now: number): boolean {
    return now - this.opts.startedAt > WORKER_DISCOVERY_MS;
  }

  /** Stops inherited runs that no job has claimed in time. */
  stopUnclaimed(workers: readonly LeasedWorker[], now: number): void {
    this.completeIfDue(now);
    for (const worker of workers) {
      if (!worker.hasInheritedSince(now - CLAIM_MS)) continue;
      this.opts.trace.recordUnclaimed(worker, worker.stopInherited());
    }
  }

  /** Ends the takeover when the leases of earlier dispatchers are over. */
  private completeIfDue(now: number): void {
    const {startedAt, leasesMs} = this.opts;
    const endsAt = startedAt + Math.max(RESUBMISSION_MS, leasesMs);
    if (this.over || now < endsAt + LEASE_SLACK_MS) return;
    this.over = true;
    this.ends.clear();
  }

  /** Records the end of a run whose job has not been resubmitted yet. */
  recordEnd(task: string, how: RunEnd): void {
    if (!this.over) this.ends.set(task, how);
  }

  /**
   * Assigns runs and ends from earlier dispatchers to their jobs, which may be
   * resubmitted before or after the worker reports the runs, and also while a run
   * is being stopped that no job has claimed in time. Returns the jobs with tasks
   * that are now running or done.
   */
  adopt(
    jobs: Iterable<ActiveJob>,
    workers: readonly LeasedWorker[],
    now: number,
  ): ActiveJob[] {
    const workersWithRuns = workers.filter(
      w => w.inherited.size > 0 || w.unclaimed.size > 0,
    );
    if (workersWithRuns.length === 0 && this.ends.size === 0) return [];
    const changed: ActiveJob[] = [];
    for (const job of jobs) {
      const waiting = job.tasks.filter(t => t.state === 'waiting');
      for (const task of waiting) this.adoptTask(task, workersWithRuns, now);
      if (waiting.some(t => t.state !== 'waiting')) changed.push(job);
    }
    return changed;
  }

  private adoptTask(
    task: PoolTask,
    workersWithRuns: readonly LeasedWorker[],
    now: number,
  ): void {
    if (this.ends.get(task.name) === RunEnd.done) {
      task.state = 'done';
      task.job.recordStart();
      this.opts.trace.recordAdoptedEnd(task);
      return;
    }
    for (const worker of workersWithRuns) {
      const unclaimed = worker.unclaimed.get(task.name);
      const number = unclaimed?.number ?? worker.inherited.get(task.name);
      if (number === undefined) continue;
      task.job.recordStart();
      task.nextRunNumber = Math.max(task.nextRunNumber, number + 1);
      if (task.run) continue;
      task.run = unclaimed ?? adoptRun(task, worker, number, now);
      task.worker = worker;
      task.state = 'running';
      this.opts.trace.recordAdopted(task, worker, number);
    }
  }
}

/** Lowest fencing token that a worker has accepted last. */
function lowestAcceptedToken(workers: readonly LeasedWorker[]): number {
  const tokens = workers.map(({fence}) => fence.acceptedToken);
  return Math.min(Number.POSITIVE_INFINITY, ...tokens);
}

function adoptRun(
  task: PoolTask,
  worker: LeasedWorker,
  number: number,
  now: number,
): Run {
  const {spec, queue} = task.job;
  const {demand, estimatedMs} = spec.steps[task.step]!;
  const run = Run.adopted(task.name, number, demand, now, task.job);
  run.workload = {queue: queue.name, estimatedMs, distanceFactor: 1};
  worker.adopt(run);
  return run;
}
