import {canRun} from './can_run.js';
import {CrashPolicy} from '../crashes/crash_policy.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolTask} from '../job/pool_task.js';
import type {Resources} from '../registry/resources.js';
import type {RunTimes} from './run_times.js';
import type {WorkerCircuitBreaker} from './worker_circuit_breaker.js';

/** Cost of running a task beside one that may crash the worker. */
const CRASH_RISK_FACTOR = 4;
/** Workers within this factor of the fastest one count as equally fast. */
const SPEED_TOLERANCE = 1.1;

interface Candidate {
  readonly worker: LeasedWorker;
  slowness: number;
  free: Resources;
  /** Whether a task that may crash the worker runs on it. */
  hasSuspect: boolean;
}

/** `distanceFactor` is the slowdown by the distance to the data. */
type Start = (worker: LeasedWorker, distanceFactor: number) => void;

interface StartCandidatesOptions {
  readonly workers: readonly LeasedWorker[];
  readonly times: RunTimes;
  readonly breaker: WorkerCircuitBreaker;
  readonly now: number;
  /** Slowdown of a task that runs outside the rack of its data. */
  readonly remoteFactor: number;
}

/**
 * Workers that can be given starts in one pass of the dispatcher. What holds for
 * all tasks of the pass is computed once: a large fleet has many starts a pass.
 */
export class StartCandidates {
  private readonly byService = new Map<string, Candidate[]>();
  private slowest = 1;
  /** Whether the last task was kept from a worker with room by its lease. */
  isLimitedByLease = false;

  constructor(private readonly opts: StartCandidatesOptions) {
    for (const worker of opts.workers) {
      if (!this.isAllowed(worker)) continue;
      const {service} = worker.report;
      const candidate = {
        worker,
        slowness: this.slownessOf(worker),
        free: worker.freeCapacity,
        hasSuspect: worker.hasSuspect,
      };
      this.slowest = Math.max(this.slowest, candidate.slowness);
      const known = this.byService.get(service);
      if (known) known.push(candidate);
      else this.byService.set(service, [candidate]);
    }
  }

  /** Passes the task to `start` with the best worker; false if none is free. */
  place(task: PoolTask, start: Start): boolean {
    const candidates = this.byService.get(task.job.queue.service) ?? [];
    this.isLimitedByLease = false;
    for (;;) {
      const at = this.findBest(task, candidates);
      const best = candidates[at];
      if (!best) return false;
      // A start may have ended other runs of the worker, whose lease is over.
      const isStillAllowed = this.isAllowed(best.worker);
      if (isStillAllowed) {
        const {remoteFactor} = this.opts;
        start(best.worker, distanceFactor(task, best.worker, remoteFactor));
      }
      if (this.isAllowed(best.worker)) {
        best.free = best.worker.freeCapacity;
        best.hasSuspect = best.worker.hasSuspect;
        best.slowness = this.slownessOf(best.worker);
      } else candidates.splice(at, 1);
      if (isStillAllowed) return true;
    }
  }

  /** Whether workers with room may be too slow for the task. */
  isLimitedBySpeed(task: PoolTask): boolean {
    return this.maxSlowness(task) < this.slowest;
  }

  /**
   * Slowness up to which a worker is of use: a job that has not started waits
   * for a faster one, or is refused, if its answer would come too late. The
   * forecast has the same rule.
   */
  private maxSlowness({job, step}: PoolTask): number {
    if (!job.isPending) return Number.POSITIVE_INFINITY;
    const {times, now} = this.opts;
    const {estimatedMs} = job.spec.steps[step]!;
    const runMs = times.expectedMs(job.queue.name, estimatedMs);
    return (times.usefulUntil(job) - now) / runMs;
  }

  /**
   * Index of the best candidate with enough free capacity; -1 if there is none.
   * Fast workers are preferred, and among equally fast ones those with few runs.
   */
  private findBest(task: PoolTask, candidates: readonly Candidate[]): number {
    const {remoteFactor, now} = this.opts;
    const {demand} = task.job.spec.steps[task.step]!;
    const maxSlowness = this.maxSlowness(task);
    let bestAt = -1;
    let bestCost = Number.POSITIVE_INFINITY;
    let bestRuns = 0;
    const isSuspect = CrashPolicy.isSuspect(task.losses);
    for (const [at, candidate] of candidates.entries()) {
      const {worker, slowness, free, hasSuspect} = candidate;
      // Checked first because most workers of a busy fleet have too little.
      if (demand.cpu > free.cpu || slowness > maxSlowness) continue;
      if (!canRun(task, worker.report, free)) continue;
      if (isAtStepLimit(task, worker)) continue;
      if (!worker.lease.permits(task.job, now)) {
        this.isLimitedByLease = true;
        continue;
      }
      // With two of them on a worker, a crash would not show which one caused it.
      if (isSuspect && hasSuspect) continue;
      const runs = worker.runs.size;
      const isRisky = hasSuspect || (isSuspect && runs > 0);
      const risk = isRisky ? CRASH_RISK_FACTOR : 1;
      const cost = slowness * distanceFactor(task, worker, remoteFactor) * risk;
      const isBetter =
        cost * SPEED_TOLERANCE < bestCost ||
        (cost < bestCost * SPEED_TOLERANCE && runs < bestRuns);
      if (!isBetter) continue;
      bestAt = at;
      bestCost = cost;
      bestRuns = runs;
    }
    return bestAt;
  }

  private slownessOf({report, runs}: LeasedWorker): number {
    const {times, now} = this.opts;
    return times.slownessForStart(report.id, runs.size, now);
  }

  private isAllowed(worker: LeasedWorker): boolean {
    const {breaker, now} = this.opts;
    return worker.isUsable(now) && breaker.allows(worker, now);
  }
}

function isAtStepLimit(task: PoolTask, worker: LeasedWorker): boolean {
  const limit = task.job.spec.steps[task.step]!.maxPerWorker;
  if (!limit) return false;
  const running = task.job.tasks.filter(
    t => t.step === task.step && t.run && t.worker === worker,
  );
  return running.length >= limit;
}

function distanceFactor(
  task: PoolTask,
  {report}: LeasedWorker,
  remoteFactor: number,
): number {
  const {dataRack} = task.job.spec.steps[task.step]!;
  return dataRack && !report.labels.includes(dataRack) ? remoteFactor : 1;
}
