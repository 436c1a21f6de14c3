import {CrashPolicy} from '../crashes/crash_policy.js';
import type {PoolTask} from '../job/pool_task.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import {canRun} from './can_run.js';
import {DemandMix} from './demand_mix.js';
import {PlacementCost} from './placement_cost.js';
import type {RunTimes} from './run_times.js';
import {WorkerIndex} from './worker_index.js';
import type {IndexedWorker} from './indexed_worker.js';
import type {WorkerHealth} from './worker_health.js';

/**
 * Age from which the index is built anew: a worker may become usable, or its
 * report may change, without an event.
 */
const REBUILD_MS = 20;

interface TaskPlacementOptions {
  readonly times: RunTimes;
  readonly health: WorkerHealth;
  /** Slowdown of a task that runs outside the rack of its data. */
  readonly remoteFactor: number;
}

/** `distanceFactor` is the slowdown by the distance to the data. */
type Start = (worker: LeasedWorker, distanceFactor: number) => void;

/** Chooses the worker of each start by the costs of the workers with room. */
export class TaskPlacement {
  /** Workers whose cost was computed, for measurements. */
  examined = 0;
  private readonly index: WorkerIndex;
  private readonly mix = new DemandMix();
  private readonly costs = new PlacementCost(this.mix);
  private readonly changed = new Set<LeasedWorker>();
  private workers: readonly LeasedWorker[] = [];
  private builtAt = Number.NEGATIVE_INFINITY;
  private now = 0;

  constructor(private readonly opts: TaskPlacementOptions) {
    this.index = new WorkerIndex(worker => this.stateOf(worker));
  }

  /** Notes a worker whose runs or state have changed. */
  refresh(worker: LeasedWorker): void {
    this.changed.add(worker);
  }

  /** Prepares for starts at `now`. */
  begin(workers: readonly LeasedWorker[], now: number): void {
    this.now = now;
    if (workers !== this.workers || now - this.builtAt >= REBUILD_MS) {
      this.workers = workers;
      this.builtAt = now;
      this.index.rebuild(workers);
    } else for (const worker of this.changed) this.index.refresh(worker);
    this.changed.clear();
  }

  /** Whether a worker of the service has this much free CPU. */
  hasRoom(service: string, cpu: number): boolean {
    return this.index.hasRoom(service, cpu);
  }

  /** Passes the task to `start` with the best worker; false if none is free. */
  place(task: PoolTask, start: Start): boolean {
    for (;;) {
      const best = this.findBest(task);
      if (!best) return false;
      const {worker} = best;
      // A start may have ended other runs of the worker, whose lease is over.
      const isStillAllowed = this.isAllowed(worker);
      if (isStillAllowed) {
        start(worker, this.distanceFactor(task, worker));
        this.mix.record(demandOf(task).cpu);
        this.costs.reset();
      }
      this.index.refresh(worker);
      if (isStillAllowed) return true;
    }
  }

  private findBest(task: PoolTask): IndexedWorker | undefined {
    const {service} = task.job.queue;
    const {dataRack, demand} = task.job.spec.steps[task.step]!;
    const maxSlowness = this.maxSlowness(task);
    const isSuspect = CrashPolicy.isSuspect(task.losses);
    let best: IndexedWorker | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    const examine = (entry: IndexedWorker) => {
      const {worker, slowness, healthCost, freeCpu} = entry;
      this.examined += 1;
      if (slowness > maxSlowness) return;
      // Checked first because most of the workers cost more than the best one.
      if (this.costs.atLeast(entry, demand.cpu) >= bestCost) return;
      if (!canRun(task, worker.report, worker.freeCapacity)) return;
      if (isAtStepLimit(task, worker)) return;
      const {hasSuspect} = worker;
      // With two of them on a worker, a crash would not show which one caused it.
      if (isSuspect && hasSuspect) return;
      const runs = worker.runs.size;
      const cost = this.costs.of({
        slowness,
        distanceFactor: this.distanceFactor(task, worker),
        isRisky: hasSuspect || (isSuspect && runs > 0),
        healthCost,
        runs,
        freeCpu,
        cpu: demand.cpu,
      });
      if (cost >= bestCost) return;
      best = entry;
      bestCost = cost;
    };
    if (dataRack) {
      for (const entry of this.index.labelled(dataRack, service, demand.cpu)) {
        examine(entry);
      }
      // Away from the data, only a much faster worker would be better.
      if (bestCost < this.opts.remoteFactor) return best;
    }
    this.index.visitFitting(service, demand.cpu, examine);
    return best;
  }

  /**
   * Slowness up to which a worker is of use: a job that has not started waits
   * for a faster one, or is refused, if its answer would come too late. The
   * forecast has the same rule.
   */
  maxSlowness({job, step}: PoolTask): number {
    if (!job.isPending) return Number.POSITIVE_INFINITY;
    const {estimatedMs} = job.spec.steps[step]!;
    const runMs = this.opts.times.expectedMs(job.queue.name, estimatedMs);
    return (job.usefulUntil - this.now) / runMs;
  }

  private stateOf(worker: LeasedWorker) {
    if (!this.isAllowed(worker)) return undefined;
    const {report, runs, freeCapacity} = worker;
    const {times, health} = this.opts;
    const slowness = times.slownessForStart(report.id, runs.size, this.now);
    return {
      freeCpu: freeCapacity.cpu,
      slowness,
      healthCost: health.costOf(report.id),
    };
  }

  private isAllowed(worker: LeasedWorker): boolean {
    const {health} = this.opts;
    return worker.isUsable(this.now) && health.allows(worker, this.now);
  }

  private distanceFactor(task: PoolTask, {report}: LeasedWorker): number {
    const {dataRack} = task.job.spec.steps[task.step]!;
    const isRemote = dataRack && !report.labels.includes(dataRack);
    return isRemote ? this.opts.remoteFactor : 1;
  }
}

function demandOf({job, step}: PoolTask) {
  return job.spec.steps[step]!.demand;
}

function isAtStepLimit(task: PoolTask, worker: LeasedWorker): boolean {
  const limit = task.job.spec.steps[task.step]!.maxPerWorker;
  if (!limit) return false;
  const running = task.job.tasks.filter(
    t => t.step === task.step && t.run && t.worker === worker,
  );
  return running.length >= limit;
}
