import type {Clock} from '../clock/clock.js';
import type {LeaseListener} from './lease_listener.js';
import type {WorkerClient} from './worker_client.js';

/** What the leases of one lead have in common. */
export interface LeaseOptions {
  readonly client: WorkerClient;
  readonly clock: Clock;
  readonly listener: LeaseListener;
  /** Fencing token of the lead at present. */
  readonly currentToken: () => number;
  /** Longest lease that workers grant, in ms. */
  readonly leaseMs: number;
  /** Whether the lead is fresh enough for orders. */
  readonly mayOrder: (now: number) => boolean;
}
