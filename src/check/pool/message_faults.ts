import type {DeploymentBench} from '../../../test-support/fakes/pool/deployment_bench.js';
import type {ZoneStep} from './zone_step.js';

type MessageLoss = Extract<ZoneStep, {kind: 'lose_messages'}>;
type OrderLoss = Extract<ZoneStep, {kind: 'lose_orders'}>;
type FaultyOrders = Extract<ZoneStep, {kind: 'faulty_orders'}>;

/** Losses of messages between nodes, and faults of orders to workers. */
export class MessageFaults {
  private readonly messageLosses = new Set<MessageLoss>();
  private readonly orderLosses = new Set<OrderLoss>();
  private faulty: FaultyOrders | undefined;
  private messages = 0;
  private orders = 0;

  constructor(
    bench: DeploymentBench,
    private readonly zones: readonly string[],
  ) {
    bench.network.isLost = (_from, _to, kind) => this.isMessageLost(kind);
    bench.orderFault = (call, worker) => this.faultOf(call, worker);
  }

  /** Begins a fault; the result ends it. */
  begin(step: MessageLoss | OrderLoss | FaultyOrders): () => void {
    if (step.kind === 'lose_messages') {
      this.messageLosses.add(step);
      return () => this.messageLosses.delete(step);
    }
    if (step.kind === 'lose_orders') {
      this.orderLosses.add(step);
      return () => this.orderLosses.delete(step);
    }
    this.faulty = step;
    return () => {
      this.faulty = undefined;
    };
  }

  private isMessageLost(kind: string): boolean {
    for (const {message, every} of this.messageLosses) {
      if (`pool.${message}` !== kind) continue;
      this.messages += 1;
      if (this.messages % every === 0) return true;
    }
    return false;
  }

  private faultOf(
    call: 'start' | 'stop' | 'look',
    worker: string,
  ): ReturnType<DeploymentBench['orderFault']> {
    for (const loss of this.orderLosses) {
      const isZone = loss.zone === null || this.zones[loss.zone] === worker[0];
      if (loss.call === call && isZone) return loss.fault;
    }
    if (!this.faulty) return 'ok';
    const {fault, every, lateMs} = this.faulty;
    this.orders += 1;
    if (this.orders % every !== 0) return 'ok';
    return fault === 'late' ? {lateMs} : fault;
  }
}
