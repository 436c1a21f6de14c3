import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {WorkerClient} from '../lease/worker_client.js';
import {RelayOrder} from './relay_order.js';

/** Relays orders of the leader to workers. */
export class WorkerRelay {
  constructor(
    peers: PeerTransport,
    private readonly client: WorkerClient,
  ) {
    peers.onRequest('pool.order', (_from, body) => this.execute(body));
  }

  private execute(body: unknown): Promise<unknown> {
    if (!v.is(RelayOrder, body)) throw new Error('malformed relay order');
    const {target, timeoutMs} = body;
    switch (body.kind) {
      case 'start':
        return this.client.start(target, body.order, timeoutMs);
      case 'stop':
        return this.client.stop(target, body.order, timeoutMs);
      case 'look':
        return this.client.poll(target, body.order, timeoutMs);
    }
  }
}
