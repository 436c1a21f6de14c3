import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import {RunRefusal} from '../lease/run_refusal.js';
import {WorkerClient} from '../lease/worker_client.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {RelayChooser} from './relay_chooser.js';
import type {RelayOrder} from './relay_order.js';
import {RelayTiming} from './relay_timing.js';
import {RelayReply} from './relay_reply.js';

type Target = Parameters<WorkerClient['start']>[0];

interface RelayedWorkerClientOptions {
  readonly peers: PeerTransport;
  readonly clock: Clock;
  /** Knows the clocks of the relays. */
  readonly directory: NodeDirectory;
  /** Client for workers without a relay. */
  readonly direct: WorkerClient;
  readonly chooser: RelayChooser;
}

/**
 * Sends orders to the workers of a large fleet through entry nodes of their
 * zones. The leader's CPU limits the size of a deployment, and relayed orders
 * are small frames on few connections. An order without a reply counts as lost;
 * the next one uses another relay. Each order states until when it may be passed
 * on, which is not later than its timeout here.
 */
export class RelayedWorkerClient extends WorkerClient {
  constructor(private readonly opts: RelayedWorkerClientOptions) {
    super();
  }

  override start: WorkerClient['start'] = async (target, order, timeoutMs) => {
    const {direct} = this.opts;
    const to = toRelayTarget(target);
    const res = await this.relay({kind: 'start', target: to, order, timeoutMs});
    if (res === 'unsent') return direct.start(target, order, timeoutMs);
    return RelayReply.isOrderReply(res) ? res : NO_REPLY;
  };

  override stop: WorkerClient['stop'] = async (target, order, timeoutMs) => {
    const {direct} = this.opts;
    const to = toRelayTarget(target);
    const res = await this.relay({kind: 'stop', target: to, order, timeoutMs});
    if (res === 'unsent') return direct.stop(target, order, timeoutMs);
    return RelayReply.isOrderReply(res) ? res : NO_REPLY;
  };

  override poll: WorkerClient['poll'] = async (target, order, timeoutMs) => {
    const {direct} = this.opts;
    const to = toRelayTarget(target);
    const res = await this.relay({kind: 'look', target: to, order, timeoutMs});
    if (res === 'unsent') return direct.poll(target, order, timeoutMs);
    return RelayReply.isPollReply(res) ? res : NO_REPLY;
  };

  override release(address: string): void {
    this.opts.direct.release(address);
  }

  private async relay(order: RelayOrder): Promise<unknown> {
    const {chooser, clock, directory, peers} = this.opts;
    const node = chooser.choose(order.target.id);
    if (node === undefined) return 'unsent';
    const relayMs = directory.clockOf(node, clock.now());
    const expiresAt =
      relayMs === undefined ? undefined : relayMs + RelayTiming.validMs(order);
    const timeoutMs = order.timeoutMs + RelayTiming.HOP_MS;
    const body = {...order, expiresAt};
    const res = await peers.request(node, 'pool.order', body, timeoutMs);
    if (res.isOk) {
      const isExpired = isRefusedAsExpired(res.value);
      // The node is slow, or its clock was set, and it would refuse others as well.
      if (isExpired) chooser.pause(node);
      return isExpired && order.kind === 'look' ? undefined : res.value;
    }
    const isUnsent = res.error.kind === 'unsent';
    // A lost start is resolved by the next poll, but lost polls let leases expire.
    if (isUnsent || order.kind === 'look') chooser.pause(node);
    return isUnsent ? 'unsent' : undefined;
  }
}

const NO_REPLY = {kind: 'lost', detail: 'the relay did not reply'} as const;

function isRefusedAsExpired(reply: unknown): boolean {
  if (!RelayReply.isOrderReply(reply)) return false;
  return reply.kind === 'refused' && reply.reason === RunRefusal.expired;
}

/** What a relay needs of a target, which may be a whole report. */
function toRelayTarget({id, address, bornAt}: Target): Target {
  return {id, address, bornAt};
}
