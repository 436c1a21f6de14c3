import type {Clock} from '../../clock/clock.js';
import type {EvacuatedZones} from '../../routing/evacuated_zones.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import type {WorkerLoss} from '../crashes/worker_loss.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import type {PoolObserver} from '../pool_observer.js';
import type {CapacityLending} from '../lending/capacity_lending.js';
import type {LeaseSettings} from '../lease/lease_settings.js';
import type {WorkerClient} from '../lease/worker_client.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import type {WorkerReport} from '../registry/worker_report.js';

/** Options of a PoolDispatcher. */
export interface PoolDispatcherOptions extends LeaseSettings {
  readonly clock: Clock;
  readonly client: WorkerClient;
  readonly registry: WorkerRegistry;
  /** Whether workers of a zone belong to the dispatcher. Default: all do. */
  readonly servesZone?: (zone: string) => boolean;
  /** Whether a worker may be used yet. Default: it may. */
  readonly mayJoin?: ((report: WorkerReport) => boolean) | undefined;
  /** Called when a worker is no longer used. */
  readonly onWorkerRemoved?: ((id: string) => void) | undefined;
  /** Initial fencing token. */
  readonly token: number;
  /** Slowdown of a task outside the rack of its data; default 2. */
  readonly remoteFactor?: number | undefined;
  /** Longest time that leases of earlier dispatchers may still last, in ms. */
  readonly earlierLeasesMs: number;
  /**
   * Whether the registry had all workers of the earlier dispatcher when this one
   * started.
   */
  readonly isRegistryComplete: boolean;
  /**
   * Whether it had all workers on which the dispatcher with a token can start tasks
   * of a job that was handed over at `handedOverAt`. Default: if it was complete.
   */
  readonly knowsWorkersOf?:
    ((token: number, handedOverAt: number) => boolean) | undefined;
  readonly maySendOrders: (now: number) => boolean;
  /** Current queue configuration; undefined before the first one. */
  readonly routing: () => RoutingTable | undefined;
  /**
   * Whether `routing` is known to be the newest configuration, so that a queue
   * that it lacks does not exist. Default: it always is.
   */
  readonly isConfigCurrent?: ((now: number) => boolean) | undefined;
  /** Default: no zone is ever evacuated. */
  readonly evacuated?: EvacuatedZones | undefined;
  readonly answer: (owner: string, id: string, answer: PoolAnswer) => void;
  /** Sends the owner of a job the workers that were lost under its tasks. */
  readonly reportLosses: (
    owner: string,
    id: string,
    losses: readonly WorkerLoss[],
  ) => void;
  /** Absent if the dispatcher neither borrows nor lends capacity. */
  readonly lending?: CapacityLending | undefined;
  /** Whether a job may have run under another dispatcher. Default: none has. */
  readonly mayHaveRun?: (id: string) => boolean;
  /** Called with jobs that may have run and that no entry node waits for. */
  readonly onUnclear?: (ids: readonly string[]) => void;
  readonly observer: PoolObserver;
}
