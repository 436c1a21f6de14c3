import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {WorkerClient} from '../worker_client.js';
import {RelayOrder} from './relay_order.js';

/** Short against the shortest tasks and against the timeouts of orders. */
const SENDING_MS = 4;

/** Carries out the orders of the lead to workers, on an entry node. */
export class WorkerRelay {
  private sending: Promise<void> | undefined;

  constructor(
    peers: PeerTransport,
    private readonly client: WorkerClient,
    private readonly clock: Clock,
  ) {
    peers.onRequest('pool.order', async (_from, body) => {
      const reply = await this.carryOut(body);
      await this.nextSending();
      return reply;
    });
  }

  /** Replies wait for each other, since each sending wakes the lead. */
  private nextSending(): Promise<void> {
    this.sending ??= new Promise(resolve => {
      this.clock.schedule(SENDING_MS, () => {
        this.sending = undefined;
        resolve();
      });
    });
    return this.sending;
  }

  private carryOut(body: unknown): Promise<unknown> {
    if (!v.is(RelayOrder, body)) throw new Error('an order cannot be read');
    const {target, timeoutMs} = body;
    switch (body.kind) {
      case 'start':
        return this.client.start(target, body.order, timeoutMs);
      case 'stop':
        return this.client.stop(target, body.order, timeoutMs);
      case 'look':
        return this.client.look(target, body.order, timeoutMs);
    }
  }
}
