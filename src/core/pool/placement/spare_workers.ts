import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolTask} from '../job/pool_task.js';
import {Resources} from '../registry/resources.js';
import {canRun} from './can_run.js';

/** Share of the workers that must have room before runs are moved. */
const AMPLE_SHARE = 0.04;
/** Slowness of workers whose room does not count. */
const SLOW = 2;

interface SpareWorkersOptions {
  readonly workers: readonly LeasedWorker[];
  readonly slownessOf: (id: string) => number;
  readonly isUsable: (worker: LeasedWorker) => boolean;
  /** Slowdown of a task that runs outside the rack of its data. */
  readonly remoteFactor: number;
}

interface Spare {
  readonly worker: LeasedWorker;
  readonly slowness: number;
  free: Resources;
}

/** Room for a task on another worker. */
interface Place {
  /** Slowdown by speed and distance. */
  readonly factor: number;
  /** Reserves the room. */
  readonly take: () => void;
}

/** Free room of a fleet for runs that may be moved. */
export class SpareWorkers {
  private spares: Spare[] | undefined;

  constructor(private readonly opts: SpareWorkersOptions) {}

  /** Finds the fastest other worker with room for a task that runs. */
  find(task: PoolTask): Place | undefined {
    const {remoteFactor} = this.opts;
    const {dataRack} = task.job.spec.steps[task.step]!;
    if (!this.hasAmpleRoom(task)) return undefined;
    let best: Spare | undefined;
    let factor = Number.POSITIVE_INFINITY;
    for (const spare of this.all()) {
      const {worker, slowness, free} = spare;
      // The list begins with the fastest.
      if (slowness >= factor) break;
      if (worker === task.worker || !canRun(task, worker.report, free)) {
        continue;
      }
      const isRemote = dataRack && !worker.report.labels.includes(dataRack);
      const total = slowness * (isRemote ? remoteFactor : 1);
      if (total >= factor) continue;
      best = spare;
      factor = total;
    }
    if (!best) return undefined;
    const found = best;
    const {demand} = task.job.spec.steps[task.step]!;
    const take = () => {
      found.free = Resources.minus(found.free, demand);
    };
    return {factor, take};
  }

  /**
   * Whether the fleet has room to move runs. In a full one, the next task would
   * take the place that becomes free on the slow worker.
   */
  private hasAmpleRoom(task: PoolTask): boolean {
    const {demand} = task.job.spec.steps[task.step]!;
    const all = this.all();
    const minimum = AMPLE_SHARE * all.length;
    let places = 0;
    for (const {slowness, free} of all) {
      if (slowness >= SLOW || places >= minimum) break;
      if (free.cpu >= demand.cpu) places += 1;
    }
    return places >= minimum;
  }

  /** Computed when the first run is to be moved, which is rare. */
  private all(): readonly Spare[] {
    const {workers, slownessOf, isUsable} = this.opts;
    this.spares ??= workers
      .filter(isUsable)
      .map(worker => ({
        worker,
        slowness: slownessOf(worker.report.id),
        free: worker.freeCapacity,
      }))
      .sort((a, b) => a.slowness - b.slowness);
    return this.spares;
  }
}
