import type {LeasedWorker} from './leased_worker.js';
import type {PoolTask} from './pool_task.js';
import {Resources} from './resources.js';
import type {RunTimes} from './run_times.js';
import type {WorkerTrust} from './worker_trust.js';

/** A task takes about this much longer away from the rack of its data. */
const REMOTE_FACTOR = 2;
/** Workers within this factor of the fastest one count as equally fast. */
const SPEED_TOLERANCE = 1.1;

/** Chooses the worker of a task. */
export class WorkerChooser {
  constructor(
    private readonly times: RunTimes,
    private readonly trust: WorkerTrust,
  ) {}

  /** Whether any of the workers could ever run the task. */
  isPossible(task: PoolTask, workers: readonly LeasedWorker[]): boolean {
    for (const worker of workers) {
      if (this.isFit(task, worker, worker.report.capacity)) return true;
    }
    return false;
  }

  /** The best worker with room; undefined if there is none at present. */
  choose(
    task: PoolTask,
    workers: readonly LeasedWorker[],
    now: number,
  ): LeasedWorker | undefined {
    let best: LeasedWorker | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const worker of workers) {
      if (!worker.isUsable(now) || !this.trust.mayStart(worker, now)) continue;
      if (!this.isFit(task, worker, worker.room)) continue;
      if (this.isCrowded(task, worker)) continue;
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

  private isFit(
    task: PoolTask,
    worker: LeasedWorker,
    room: Resources,
  ): boolean {
    const step = task.job.job.steps[task.step]!;
    const {service, labels} = worker.report;
    if (service !== task.job.queue.service) return false;
    if (step.requiredLabel && !labels.includes(step.requiredLabel)) {
      return false;
    }
    return Resources.isWithin(step.demand, room);
  }

  private isCrowded(task: PoolTask, worker: LeasedWorker): boolean {
    const most = task.job.job.steps[task.step]!.maxPerWorker;
    if (!most) return false;
    const there = task.job.tasks.filter(
      t => t.step === task.step && t.run && t.worker === worker,
    );
    return there.length >= most;
  }

  private costOf(task: PoolTask, worker: LeasedWorker): number {
    const {dataRack} = task.job.job.steps[task.step]!;
    const isRemote = dataRack && !worker.report.labels.includes(dataRack);
    const slowness = this.times.slownessOf(worker.report.id);
    return Math.max(0.5, slowness) * (isRemote ? REMOTE_FACTOR : 1);
  }
}
