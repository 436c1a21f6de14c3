import type {Clock} from '../../clock/clock.js';
import type {LeaseSettings} from './lease_settings.js';
import type {LeaseListener} from './lease_listener.js';
import type {WorkerClient} from './worker_client.js';

/** Options common to all leases of one dispatcher. */
export interface LeaseOptions extends LeaseSettings {
  readonly client: WorkerClient;
  readonly clock: Clock;
  readonly listener: LeaseListener;
  /** Current fencing token of the dispatcher. */
  readonly currentToken: () => number;
  /** Whether leadership was confirmed recently enough to send orders. */
  readonly maySendOrders: (now: number) => boolean;
}
