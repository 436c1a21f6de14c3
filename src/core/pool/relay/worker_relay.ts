import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {WorkerClient} from '../lease/worker_client.js';
import type {PoolObserver} from '../pool_observer.js';
import {RelayOrder} from './relay_order.js';

interface WorkerRelayOptions {
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly clock: Clock;
  readonly observer: PoolObserver;
}

/** Relays orders of dispatchers to workers. */
export class WorkerRelay {
  constructor(private readonly opts: WorkerRelayOptions) {
    opts.peers.onRequest('pool.order', (from, body) =>
      this.execute(from, body),
    );
  }

  private execute(from: string, body: unknown): Promise<unknown> {
    if (!v.is(RelayOrder, body)) throw new Error('malformed relay order');
    const {client, clock} = this.opts;
    const {target, timeoutMs, expiresAt} = body;
    const leftMs = (expiresAt ?? Infinity) - clock.elapsed();
    if (leftMs <= 0) this.recordExpiry(from, body, -leftMs);
    switch (body.kind) {
      case 'start':
        return client.start(target, body.order, timeoutMs);
      case 'stop':
        return client.stop(target, body.order, timeoutMs);
      case 'look':
        return client.poll(target, body.order, timeoutMs);
    }
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
