import type {WorkerObserver} from '../worker/worker_observer.js';
import {WorkerRegistry} from '../worker/worker_registry.js';
import type {WorkerState} from '../worker/worker_state.js';
import type {FleetView} from './fleet_view.js';

/**
 * Incrementally maintained view of the workers. A scan of all workers is needed
 * only after their eligibility changed, or when the lease of a startable worker
 * may have expired.
 */
export class Fleet implements FleetView, WorkerObserver {
  readonly startable: WorkerState[] = [];
  freeSlots = 0;
  totalSlots = 0;
  totalWorkers = 0;
  readonly rackLoads = new Map<string, number>();
  /** Number of scans of all workers so far; for tests and benchmarks. */
  scans = 0;
  /** Number of free slots of each worker that accepts starts. */
  private readonly free = new Map<WorkerState, number>();
  /** Index of each worker in `startable`. */
  private readonly positions = new Map<WorkerState, number>();
  private isStale = true;
  private epoch = 0;
  private validUntil = 0;

  /** `includes` selects the workers of this view. */
  constructor(
    private readonly registry: WorkerRegistry,
    private readonly includes: (worker: WorkerState) => boolean = () => true,
  ) {
    registry.observe(this);
  }

  /** Updates the view; rescans the workers only if it is out of date. */
  refresh(epoch: number, now: number): FleetView {
    const isValid = epoch === this.epoch && now < this.validUntil;
    if (!this.isStale && isValid) return this;
    this.isStale = false;
    this.epoch = epoch;
    this.scan(epoch, now);
    return this;
  }

  eligibilityChanged(): void {
    this.isStale = true;
  }

  usageChanged(worker: WorkerState): void {
    const before = this.free.get(worker);
    if (before === undefined) return;
    const after = worker.freeSlots;
    if (after === before) return;
    this.free.set(worker, after);
    this.freeSlots += after - before;
    this.addLoad(worker, before - after);
    if (before === 0) this.add(worker);
    else if (after === 0) this.remove(worker);
  }

  private scan(epoch: number, now: number): void {
    const {registry} = this;
    this.scans += 1;
    this.free.clear();
    this.positions.clear();
    this.startable.length = 0;
    this.rackLoads.clear();
    this.freeSlots = 0;
    this.totalSlots = 0;
    this.totalWorkers = 0;
    this.validUntil = Infinity;
    for (const worker of registry.list()) {
      if (worker.announcement.leaving || !this.includes(worker)) continue;
      if (registry.isWithheld(worker)) continue;
      this.totalSlots += worker.announcement.slots;
      this.totalWorkers += 1;
      if (!registry.isStartable(worker, epoch, now)) continue;
      const end = worker.leaseExpiresAt - WorkerRegistry.LEASE_MARGIN_MS;
      this.validUntil = Math.min(this.validUntil, end);
      const free = worker.freeSlots;
      this.free.set(worker, free);
      this.freeSlots += free;
      this.addLoad(worker, worker.outstanding);
      if (free > 0) this.add(worker);
    }
  }

  private addLoad({announcement}: WorkerState, change: number): void {
    const {rack} = announcement;
    this.rackLoads.set(rack, (this.rackLoads.get(rack) ?? 0) + change);
  }

  private add(worker: WorkerState): void {
    this.positions.set(worker, this.startable.push(worker) - 1);
  }

  private remove(worker: WorkerState): void {
    const at = this.positions.get(worker);
    const last = this.startable.pop();
    this.positions.delete(worker);
    if (at === undefined || !last || last === worker) return;
    this.startable[at] = last;
    this.positions.set(last, at);
  }
}
