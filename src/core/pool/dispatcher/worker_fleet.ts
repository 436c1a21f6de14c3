import type {LeaseOptions} from '../lease/lease_options.js';
import {LeasedWorker} from '../lease/leased_worker.js';
import {LossCause} from '../lease/loss_cause.js';
import type {PoolObserver} from '../pool_observer.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import type {WorkerReport} from '../registry/worker_report.js';

interface WorkerFleetOptions extends LeaseOptions {
  readonly registry: WorkerRegistry;
  readonly observer: PoolObserver;
  /** Called when a worker has been removed. */
  readonly onRemoved: (id: string) => void;
}

/**
 * Time for which a worker that joins is not used, so that the nodes that may
 * dispatch next know it before anything runs there; see StartProof.
 */
const ANNOUNCEMENT_MS = 1_000;
/** In this time after the start, workers that report are used at once. */
const DISCOVERY_MS = 4_000;

/** Workers of one dispatcher, synchronized with the worker registry. */
export class WorkerFleet {
  private readonly byId = new Map<string, LeasedWorker>();
  private list: readonly LeasedWorker[] = [];

  private readonly startedAt: number;

  constructor(private readonly opts: WorkerFleetOptions) {
    this.startedAt = opts.clock.now();
  }

  /** Whether each worker in use was announced some time before its first run. */
  isSettled(now: number): boolean {
    return now - this.startedAt > DISCOVERY_MS + ANNOUNCEMENT_MS;
  }

  get size(): number {
    return this.byId.size;
  }

  get all(): readonly LeasedWorker[] {
    return this.list;
  }

  tick(now: number): void {
    this.sync(now);
    for (const worker of this.byId.values()) worker.tick(now);
  }

  /** Continues to poll the workers whose ends waited for their record. */
  onRecorded(now: number): void {
    for (const worker of this.list) {
      if (worker.acks.isHolding) worker.tick(now);
    }
  }

  private sync(now: number): void {
    const {registry, client, observer, onRemoved} = this.opts;
    let isChanged = false;
    for (const [id, {report, seenAt}] of registry.entries) {
      const known = this.byId.get(id);
      if (known?.report.address === report.address) {
        known.report = report;
        known.seenAt = seenAt;
        continue;
      }
      isChanged = true;
      known?.close(LossCause.moved);
      const worker = new LeasedWorker(this.opts, report, seenAt);
      if (now - this.startedAt > DISCOVERY_MS) {
        worker.usableFrom = now + ANNOUNCEMENT_MS;
      }
      this.byId.set(id, worker);
      const {zone, service, address, bornAt} = report;
      observer.recordStateChange('worker_joined', {
        worker: id,
        worker_zone: zone,
        service,
        address,
        born_at: bornAt,
        replaces: this.findPredecessor(report),
      });
    }
    for (const [id, worker] of this.byId) {
      if (registry.entries.has(id) || !worker.isIdle) continue;
      isChanged = true;
      this.byId.delete(id);
      onRemoved(id);
      client.release(worker.report.address);
      observer.recordStateChange('worker_gone', {worker: id});
    }
    if (isChanged) this.list = [...this.byId.values()];
  }

  /** Id of an earlier worker at the address of a new one; its process is over. */
  private findPredecessor({id, address, bornAt}: WorkerReport) {
    return this.list.find(
      ({report}) =>
        report.id !== id &&
        report.address === address &&
        report.bornAt < bornAt,
    )?.report.id;
  }
}
