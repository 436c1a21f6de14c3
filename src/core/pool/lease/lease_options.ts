import type {Clock} from '../../clock/clock.js';
import type {LeaseListener} from './lease_listener.js';
import type {WorkerClient} from './worker_client.js';

/** Options common to all leases of one dispatcher. */
export interface LeaseOptions {
  readonly client: WorkerClient;
  readonly clock: Clock;
  readonly listener: LeaseListener;
  /** Current fencing token of the dispatcher. */
  readonly currentToken: () => number;
  /** Longest lease that workers grant, in ms. */
  readonly leaseMs: number;
  /** Whether leadership was confirmed recently enough to send orders. */
  readonly maySendOrders: (now: number) => boolean;
  /**
   * Time up to which the ends that workers have listed are recorded at the nodes
   * that may dispatch next; default: they need no record.
   */
  readonly recordedUntil?: (() => number) | undefined;
}
