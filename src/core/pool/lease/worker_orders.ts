import type {WorkerReport} from '../registry/worker_report.js';
import type {LeaseOptions} from './lease_options.js';
import {LeaseTiming} from './lease_timing.js';
import type {ProcessInstance} from './process_instance.js';
import type {Run} from './run.js';
import type {SentOrder} from './sent_order.js';
import type {WorkerClient} from './worker_client.js';

type Target = Parameters<WorkerClient['start']>[0];
type PollOrder = Parameters<WorkerClient['poll']>[1];

/**
 * Sends the orders of one dispatcher to a worker, with its current token and
 * timeouts, for the process instance that the worker has shown last.
 */
export class WorkerOrders {
  constructor(
    private readonly opts: LeaseOptions,
    private readonly instance: ProcessInstance,
  ) {}

  /** Current fencing token. */
  get token(): number {
    return this.opts.currentToken();
  }

  /** What the reply to an order that is sent now refers to. */
  describe(now: number, waitMs = 0): SentOrder {
    return {at: now, token: this.token, bornAt: this.instance.bornAt, waitMs};
  }

  start(report: WorkerReport, run: Run, payload: string) {
    const {task, number, startLeaseEnd: leaseEnd} = run;
    const order = {task, run: number, token: this.token, payload, leaseEnd};
    const {client} = this.opts;
    const target = this.targetOf(report);
    return client.start(target, order, LeaseTiming.ORDER_TIMEOUT_MS);
  }

  stop(report: WorkerReport, {task, number}: Run) {
    const order = {task, run: number, token: this.token};
    const {client} = this.opts;
    const target = this.targetOf(report);
    return client.stop(target, order, LeaseTiming.ORDER_TIMEOUT_MS);
  }

  poll(report: WorkerReport, order: Omit<PollOrder, 'token'>) {
    return this.sendPoll(this.targetOf(report), order);
  }

  /**
   * Polls whatever process the worker runs. It acknowledges no ends and renews no
   * lease, which might be those of another process.
   */
  probe({id, address}: WorkerReport, waitMs: number) {
    return this.sendPoll({id, address}, {acknowledged: 0, waitMs});
  }

  private sendPoll(target: Target, order: Omit<PollOrder, 'token'>) {
    const timeoutMs = order.waitMs + LeaseTiming.POLL_GRACE_MS;
    const {token} = this;
    return this.opts.client.poll(target, {...order, token}, timeoutMs);
  }

  private targetOf({id, address, bornAt}: WorkerReport): Target {
    return {id, address, bornAt: this.instance.bornAt ?? bornAt};
  }
}
