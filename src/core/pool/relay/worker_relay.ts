import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import {RunRefusal} from '../lease/run_refusal.js';
import type {WorkerClient} from '../lease/worker_client.js';
import type {PoolObserver} from '../pool_observer.js';
import {RelayOrder} from './relay_order.js';
import {RelayTiming} from './relay_timing.js';

const {HOP_MS} = RelayTiming;

interface WorkerRelayOptions {
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly clock: Clock;
  readonly observer: PoolObserver;
}

/**
 * Relays orders of dispatchers to workers, for as long as their senders stand by
 * them. A worker that has restarted knows neither the stop of a run that was given
 * up nor the clock on which its lease was stated, so it would carry out a late order.
 */
export class WorkerRelay {
  constructor(private readonly opts: WorkerRelayOptions) {
    opts.peers.onRequest('pool.order', (from, body) =>
      this.execute(from, body),
    );
  }

  private async execute(from: string, body: unknown): Promise<unknown> {
    if (!v.is(RelayOrder, body)) throw new Error('malformed relay order');
    const validMs = RelayTiming.validMs(body);
    const leftMs = this.leftMs(body);
    if (leftMs <= 0 || leftMs > validMs) {
      this.recordExpiry(from, body, -leftMs);
      return {kind: 'refused', reason: RunRefusal.expired};
    }
    const {client} = this.opts;
    const {target} = body;
    const timeoutMs = body.timeoutMs - Math.max(0, validMs - HOP_MS - leftMs);
    switch (body.kind) {
      case 'start':
        return client.start(target, body.order, timeoutMs);
      case 'stop':
        return client.stop(target, body.order, timeoutMs);
      case 'look':
        return client.poll(target, body.order, timeoutMs);
    }
  }

  /**
   * For how long the sender stands by an order, in ms; not more than at its
   * beginning, unless the time was stated on another clock than this node's.
   */
  private leftMs(order: RelayOrder): number {
    const {expiresAt} = order;
    // Older nodes do not state it.
    if (expiresAt === undefined) return RelayTiming.validMs(order);
    return expiresAt - this.opts.clock.elapsed();
  }

  private recordExpiry(
    sender: string,
    {kind, target, order}: RelayOrder,
    lateMs: number,
  ): void {
    this.opts.observer.recordStateChange('order_expired', {
      kind,
      sender,
      worker: target.id,
      born_at: target.bornAt,
      token: order.token,
      ...('task' in order ? {task: order.task, run: order.run} : {}),
      late_ms: Math.round(lateMs),
    });
  }
}
