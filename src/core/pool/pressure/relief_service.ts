import type {PoolObserver} from '../pool_observer.js';
import {NodePressure} from './node_pressure.js';
import type {PeerPressure} from './peer_pressure.js';
import {ReadinessPolicy} from './readiness_policy.js';

/** Two missed messages, which are sent every 2.5 s by nodes without pressure. */
const PEER_RETENTION_MS = 6_000;

interface ReliefServiceOptions {
  readonly node: string;
  /** Fraction of a processor that the node may use. */
  readonly share: number;
  readonly observer: PoolObserver;
}

/**
 * Pressure of an entry node and of the others of its zone, and whether the node
 * is withdrawn from the balancer because of it.
 */
export class ReliefService {
  private readonly own: NodePressure;
  private readonly policy: ReadinessPolicy;
  private readonly peers = new Map<string, PeerPressure & {seenAt: number}>();

  constructor(private readonly opts: ReliefServiceOptions) {
    this.own = new NodePressure(opts.share);
    this.policy = new ReadinessPolicy(opts.node);
  }

  /** Pressure of this node, from 0 to 1. */
  get pressure(): number {
    return this.own.value;
  }

  /** Whether this node asks for no new connections. */
  get isRelieved(): boolean {
    return this.policy.isRelieved;
  }

  /** Records what another entry node of the zone has stated. */
  recordPeer(peer: PeerPressure, now: number): void {
    this.peers.set(peer.node, {...peer, seenAt: now});
  }

  /** Removes a node that leaves, as it takes no connections any more. */
  removePeer(node: string): void {
    this.peers.delete(node);
  }

  /** Takes a sample and decides; returns whether the state has changed. */
  update(sample: Parameters<NodePressure['record']>[0], now: number): boolean {
    this.own.record(sample);
    for (const [node, {seenAt}] of this.peers) {
      if (now - seenAt > PEER_RETENTION_MS) this.peers.delete(node);
    }
    const peers = [...this.peers.values()];
    const {pressure} = this;
    const change = this.policy.update({now, pressure, peers});
    if (!change) return false;
    const fields = {
      pressure: Number(pressure.toFixed(2)),
      peers: peers.length,
      peers_relieved: peers.filter(p => p.isRelieved).length,
    };
    const {observer} = this.opts;
    if (change.kind === 'begun') {
      observer.recordStateChange('relief_begun', fields);
    } else {
      observer.recordStateChange('relief_ended', {
        ...fields,
        reason: change.reason,
        after_ms: Math.round(change.afterMs),
      });
    }
    return true;
  }
}
