import type {WorkerHealth} from '../../worker/worker_health.js';
import type {WorkerState} from '../../worker/worker_state.js';
import type {FleetView} from '../fleet_view.js';

/** Number of suitable workers to compare; more improve the choice little. */
const SAMPLE_SIZE = 24;
const ZONE_PENALTY = 1_000;
const AVOID_PENALTY = 500;
const SLOWNESS_WEIGHT = 10;
/** Small enough to decide only between workers that are otherwise equal. */
const RACK_WEIGHT = 1e-6;

interface Requirements {
  readonly className: string;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Whether the task may be retried if it fails on the worker. */
  readonly repeatable: boolean;
  /** Worker to use only if no other one is suitable. */
  readonly avoid: string | undefined;
}

interface Selection {
  readonly worker: WorkerState | undefined;
  /** Whether usable workers lacked slots or resources for the task. */
  readonly lacksCapacity: boolean;
}

/**
 * Selects the worker for a task. Prefers workers in the own zone, then fast
 * ones, then the least loaded, and spreads the load over racks.
 */
export class WorkerSelector {
  /** Start of the next comparison; rotates so that no worker is favoured. */
  private cursor = 0;

  constructor(
    private readonly health: WorkerHealth,
    private readonly zone: string | undefined,
  ) {}

  select(need: Requirements, fleet: FleetView, now: number): Selection {
    const {startable, rackLoads} = fleet;
    const count = startable.length;
    let best: WorkerState | undefined;
    let bestCost = Infinity;
    let lacksCapacity = false;
    let compared = 0;
    this.cursor += 1;
    for (let n = 0; n < count && compared < SAMPLE_SIZE; n += 1) {
      const worker = startable[(this.cursor + n) % count]!;
      if (!this.isUsable(worker, need, now)) continue;
      if (!hasCapacity(worker, need)) {
        lacksCapacity = true;
        continue;
      }
      // A probe that is due takes precedence over all other workers.
      if (this.health.isEjected(worker)) return {worker, lacksCapacity: false};
      compared += 1;
      const cost = this.costOf(worker, need, rackLoads);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = worker;
    }
    return {worker: best, lacksCapacity};
  }

  private isUsable(
    worker: WorkerState,
    need: Requirements,
    now: number,
  ): boolean {
    const {health} = this;
    if (health.isEjected(worker)) {
      return health.mayProbe(worker, need.repeatable, now);
    }
    return worker.outstanding < health.slotLimit(worker);
  }

  private costOf(
    worker: WorkerState,
    need: Requirements,
    rackLoads: FleetView['rackLoads'],
  ): number {
    const {zone, rack, slots} = worker.announcement;
    const isOtherZone = this.zone !== undefined && zone !== this.zone;
    return (
      (isOtherZone ? ZONE_PENALTY : 0) +
      (worker.id === need.avoid ? AVOID_PENALTY : 0) +
      SLOWNESS_WEIGHT * (this.health.slownessOf(worker) - 1) +
      worker.outstanding / slots +
      RACK_WEIGHT * (rackLoads.get(rack) ?? 0)
    );
  }
}

function hasCapacity(worker: WorkerState, need: Requirements): boolean {
  return (
    worker.freeSlots > 0 &&
    worker.serves(need.className) &&
    worker.hasCapacityFor(need.memoryMb, need.accelerators)
  );
}
