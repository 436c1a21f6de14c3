import type {WorkerHealth} from '../../worker/worker_health.js';
import type {WorkerState} from '../../worker/worker_state.js';
import type {FleetView} from '../fleet_view.js';

/** Suitable workers compared for a start; more find little better. */
const SAMPLE = 24;
const ZONE_PENALTY = 1_000;
const AVOID_PENALTY = 500;
const SLOWNESS_WEIGHT = 10;
/** Decides only between workers that are equal otherwise. */
const RACK_WEIGHT = 1e-6;

interface Need {
  readonly className: string;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Whether the task may run again if the worker fails it. */
  readonly repeatable: boolean;
  readonly avoid: string | undefined;
}

interface Selection {
  readonly worker: WorkerState | undefined;
  /** True when usable workers had free slots but lacked what the task needs. */
  readonly lacksRoom: boolean;
}

/**
 * Chooses the worker of a start: own zone first, then the fast ones, then the
 * least loaded, spread over racks.
 */
export class WorkerSelector {
  /** Where the next comparison begins, so that no worker is preferred. */
  private cursor = 0;

  constructor(
    private readonly health: WorkerHealth,
    private readonly zone: string | undefined,
  ) {}

  select(need: Need, fleet: FleetView, now: number): Selection {
    const {startable, rackLoads} = fleet;
    const count = startable.length;
    let best: WorkerState | undefined;
    let bestCost = Infinity;
    let lacksRoom = false;
    let compared = 0;
    this.cursor += 1;
    for (let n = 0; n < count && compared < SAMPLE; n += 1) {
      const worker = startable[(this.cursor + n) % count]!;
      if (!this.isUsable(worker, need, now)) continue;
      if (!hasRoom(worker, need)) {
        lacksRoom = true;
        continue;
      }
      // A probe that is due is not left to chance.
      if (this.health.isEjected(worker)) return {worker, lacksRoom: false};
      compared += 1;
      const cost = this.costOf(worker, need, rackLoads);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = worker;
    }
    return {worker: best, lacksRoom};
  }

  private isUsable(worker: WorkerState, need: Need, now: number): boolean {
    const {health} = this;
    if (health.isEjected(worker)) {
      return health.mayProbe(worker, need.repeatable, now);
    }
    return worker.outstanding < health.slotLimit(worker);
  }

  private costOf(
    worker: WorkerState,
    need: Need,
    rackLoads: FleetView['rackLoads'],
  ): number {
    const {zone, rack, slots} = worker.announcement;
    const isAway = this.zone !== undefined && zone !== this.zone;
    return (
      (isAway ? ZONE_PENALTY : 0) +
      (worker.id === need.avoid ? AVOID_PENALTY : 0) +
      SLOWNESS_WEIGHT * (this.health.slownessOf(worker) - 1) +
      worker.outstanding / slots +
      RACK_WEIGHT * (rackLoads.get(rack) ?? 0)
    );
  }
}

function hasRoom(worker: WorkerState, need: Need): boolean {
  return (
    worker.freeSlots > 0 &&
    worker.serves(need.className) &&
    worker.hasCapacityFor(need.memoryMb, need.accelerators)
  );
}
