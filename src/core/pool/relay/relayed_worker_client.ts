import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import {WorkerClient} from '../worker_client.js';
import type {RelayChooser} from './relay_chooser.js';
import type {RelayOrder} from './relay_order.js';
import {RelayReply} from './relay_reply.js';

/** The way to the entry node and back. */
const HOP_MS = 40;

interface RelayedWorkerClientOptions {
  readonly peers: PeerTransport;
  /** For workers that no node carries orders out for. */
  readonly direct: WorkerClient;
  readonly chooser: RelayChooser;
}

/**
 * Orders to the workers of a large fleet through the entry nodes of their
 * zones. The lead's processor binds a large deployment: its calls become small
 * frames on few connections. An order without a reply is a lost order, as on
 * any network, and the next one takes another way.
 */
export class RelayedWorkerClient extends WorkerClient {
  constructor(private readonly opts: RelayedWorkerClientOptions) {
    super();
  }

  override start: WorkerClient['start'] = async (target, order, timeoutMs) => {
    const {direct} = this.opts;
    const to = addressOf(target);
    const res = await this.relay({kind: 'start', target: to, order, timeoutMs});
    if (res === 'unsent') return direct.start(target, order, timeoutMs);
    return v.is(RelayReply.order, res) ? res : NO_REPLY;
  };

  override stop: WorkerClient['stop'] = async (target, order, timeoutMs) => {
    const {direct} = this.opts;
    const to = addressOf(target);
    const res = await this.relay({kind: 'stop', target: to, order, timeoutMs});
    if (res === 'unsent') return direct.stop(target, order, timeoutMs);
    return v.is(RelayReply.order, res) ? res : NO_REPLY;
  };

  override poll: WorkerClient['poll'] = async (target, order, timeoutMs) => {
    const {direct} = this.opts;
    const to = addressOf(target);
    const res = await this.relay({kind: 'look', target: to, order, timeoutMs});
    if (res === 'unsent') return direct.poll(target, order, timeoutMs);
    if (!v.is(RelayReply.look, res)) return NO_REPLY;
    if (res.kind !== 'ok') return res;
    return {kind: 'ok', look: {bornAt: undefined, ...res.look}};
  };

  override release(address: string): void {
    this.opts.direct.release(address);
  }

  private async relay(order: RelayOrder): Promise<unknown> {
    const {chooser, peers} = this.opts;
    const node = chooser.choose(order.target.id);
    if (node === undefined) return 'unsent';
    const timeoutMs = order.timeoutMs + HOP_MS;
    const res = await peers.request(node, 'pool.order', order, timeoutMs);
    if (res.isOk) return res.value;
    const isUnsent = res.error.kind === 'unsent';
    // A slow start is settled by the next look; without looks leases run out.
    if (isUnsent || order.kind === 'look') chooser.pause(node);
    return isUnsent ? 'unsent' : undefined;
  }
}

const NO_REPLY = {kind: 'lost', detail: 'no reply of the relay'} as const;

function addressOf({id, address}: {id: string; address: string}) {
  return {id, address};
}
