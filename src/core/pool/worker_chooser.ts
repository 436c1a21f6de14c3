import type {LeasedWorker} from './leased_worker.js';
import type {PoolTask} from './pool_task.js';
import {Resources} from './resources.js';
import type {RunTimes} from './run_times.js';
import type {WorkerCircuitBreaker} from './worker_circuit_breaker.js';

/** Slowdown of a task that runs outside the rack of its data. */
const REMOTE_FACTOR = 2;
/** Workers within this factor of the fastest one count as equally fast. */
const SPEED_TOLERANCE = 1.1;

/** Chooses the worker for a task. */
export class WorkerChooser {
  constructor(
    private readonly times: RunTimes,
    private readonly breaker: WorkerCircuitBreaker,
  ) {}

  /** Whether any worker could run the task if it were idle. */
  isPlaceable(task: PoolTask, workers: readonly LeasedWorker[]): boolean {
    for (const worker of workers) {
      if (this.canRun(task, worker, worker.report.capacity)) return true;
    }
    return false;
  }

  /** Returns the best worker with enough free capacity, if there is one. */
  choose(
    task: PoolTask,
    workers: readonly LeasedWorker[],
    now: number,
  ): LeasedWorker | undefined {
    let best: LeasedWorker | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const worker of workers) {
      if (!worker.isUsable(now) || !this.breaker.allows(worker, now)) continue;
      if (!this.canRun(task, worker, worker.freeCapacity)) continue;
      if (this.isAtStepLimit(task, worker)) continue;
      const cost = this.costOf(task, worker);
      const isBetter =
        cost * SPEED_TOLERANCE < bestCost ||
        (cost < bestCost * SPEED_TOLERANCE &&
          worker.runs.size < (best?.runs.size ?? 0));
      if (!isBetter) continue;
      best = worker;
      bestCost = cost;
    }
    return best;
  }

  private canRun(
    task: PoolTask,
    worker: LeasedWorker,
    available: Resources,
  ): boolean {
    const step = task.job.spec.steps[task.step]!;
    const {service, labels} = worker.report;
    if (service !== task.job.queue.service) return false;
    if (step.requiredLabel && !labels.includes(step.requiredLabel)) {
      return false;
    }
    return Resources.isWithin(step.demand, available);
  }

  private isAtStepLimit(task: PoolTask, worker: LeasedWorker): boolean {
    const limit = task.job.spec.steps[task.step]!.maxPerWorker;
    if (!limit) return false;
    const running = task.job.tasks.filter(
      t => t.step === task.step && t.run && t.worker === worker,
    );
    return running.length >= limit;
  }

  private costOf(task: PoolTask, worker: LeasedWorker): number {
    const {dataRack} = task.job.spec.steps[task.step]!;
    const isRemote = dataRack && !worker.report.labels.includes(dataRack);
    const slowness = this.times.slownessOf(worker.report.id);
    return Math.max(0.5, slowness) * (isRemote ? REMOTE_FACTOR : 1);
  }
}
