import type {Clock} from '../../clock/clock.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import type {WorkerLoss} from '../crashes/worker_loss.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import type {Predecessor} from '../outcome/predecessor.js';
import type {PoolObserver} from '../pool_observer.js';
import type {WorkerClient} from '../lease/worker_client.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';

/** Options of a PoolDispatcher. */
export interface PoolDispatcherOptions {
  readonly clock: Clock;
  readonly client: WorkerClient;
  readonly registry: WorkerRegistry;
  /** Initial fencing token. */
  readonly token: number;
  /** Longest lease that workers grant, in ms. */
  readonly leaseMs: number;
  /** Longest time that leases of earlier dispatchers may still last, in ms. */
  readonly earlierLeasesMs: number;
  /** Whether the registry was up to date when the dispatcher started. */
  readonly isRegistryComplete: boolean;
  /** What is known of the dispatcher before; absent: nothing. */
  readonly predecessor?: Predecessor;
  /** See LeaseOptions. */
  readonly recordedUntil?: () => number;
  readonly maySendOrders: (now: number) => boolean;
  /** Current queue configuration; undefined before the first one. */
  readonly routing: () => RoutingTable | undefined;
  readonly answer: (owner: string, id: string, answer: PoolAnswer) => void;
  /** Sends the owner of a job the workers that were lost under its tasks. */
  readonly reportLosses: (
    owner: string,
    id: string,
    losses: readonly WorkerLoss[],
  ) => void;
  readonly observer: PoolObserver;
}
