import type {LeaseOptions} from './lease_options.js';
import {LeaseTiming} from './lease_timing.js';
import type {Run} from './run.js';
import type {WorkerClient} from './worker_client.js';

type Target = Parameters<WorkerClient['start']>[0];
type PollOrder = Parameters<WorkerClient['poll']>[1];

/** Sends the orders of one dispatcher with its current token and timeouts. */
export class WorkerOrders {
  constructor(private readonly opts: LeaseOptions) {}

  /** Current fencing token. */
  get token(): number {
    return this.opts.currentToken();
  }

  start(target: Target, run: Run, payload: string) {
    const {task, number, startLeaseEnd: leaseEnd} = run;
    const order = {task, run: number, token: this.token, payload, leaseEnd};
    const {client} = this.opts;
    return client.start(target, order, LeaseTiming.ORDER_TIMEOUT_MS);
  }

  stop(target: Target, {task, number}: Run) {
    const order = {task, run: number, token: this.token};
    const {client} = this.opts;
    return client.stop(target, order, LeaseTiming.ORDER_TIMEOUT_MS);
  }

  poll(target: Target, order: Omit<PollOrder, 'token'>) {
    const timeoutMs = order.waitMs + LeaseTiming.POLL_GRACE_MS;
    const {token} = this;
    return this.opts.client.poll(target, {...order, token}, timeoutMs);
  }
}
