import {isServiceKnown} from '../../routing/is_service_known.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import type {LeaseOptions} from '../lease/lease_options.js';
import {LeasedWorker} from '../lease/leased_worker.js';
import {LossCause} from '../lease/loss_cause.js';
import type {PoolObserver} from '../pool_observer.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import type {WorkerReport} from '../registry/worker_report.js';

interface WorkerFleetOptions extends LeaseOptions {
  readonly registry: WorkerRegistry;
  readonly observer: PoolObserver;
  /** Whether workers of a zone belong to the dispatcher. */
  readonly servesZone: (zone: string) => boolean;
  /** Whether a worker may be used yet. Default: it may. */
  readonly mayJoin?: ((report: WorkerReport) => boolean) | undefined;
  /** Current configuration; undefined before the first one. */
  readonly routing: () => RoutingTable | undefined;
  /** Called when a worker has been removed. */
  readonly onRemoved: (id: string) => void;
}

/**
 * Workers of one dispatcher, synchronized with the worker registry. Workers of a
 * service join when the configuration names it, and stay if it no longer does,
 * since jobs that were accepted before may still need them.
 */
export class WorkerFleet {
  private readonly byId = new Map<string, LeasedWorker>();
  private list: readonly LeasedWorker[] = [];

  constructor(private readonly opts: WorkerFleetOptions) {}

  get size(): number {
    return this.byId.size;
  }

  get all(): readonly LeasedWorker[] {
    return this.list;
  }

  tick(now: number): void {
    this.sync();
    for (const worker of this.byId.values()) worker.tick(now);
  }

  private sync(): void {
    const {registry, client, observer, onRemoved} = this.opts;
    const {servesZone, routing, mayJoin = () => true} = this.opts;
    const table = routing();
    let isChanged = false;
    for (const [id, {report, seenAt}] of registry.entries) {
      if (!servesZone(report.zone)) continue;
      const known = this.byId.get(id);
      if (known?.report.address === report.address) {
        known.update(report, seenAt);
        continue;
      }
      if (!known && !isServiceKnown(table, report.service)) continue;
      if (!mayJoin(report)) continue;
      isChanged = true;
      known?.close(LossCause.moved);
      this.byId.set(id, new LeasedWorker(this.opts, report, seenAt));
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
