import type {PeerPressure} from './peer_pressure.js';

/** Pressure at which requests begin to wait noticeably. */
const HIGH = 0.85;
const BEGIN_AFTER_MS = 1_000;
const LOW = 0.6;
const END_AFTER_MS = 2_000;
/** Shorter states would let load swing between the nodes. */
const MIN_STATE_MS = 3_000;
/** Share of the zone's nodes that may be withdrawn at a time. */
const MAX_WITHDRAWN = 1 / 3;
/**
 * The other nodes must be below the own pressure by this much on average.
 * Otherwise, they would only take the same load in turn.
 */
const MIN_LEAD = 0.15;

interface Inputs {
  readonly now: number;
  /** Pressure of this node. */
  readonly pressure: number;
  /** The zone's other nodes that have been heard recently. */
  readonly peers: readonly PeerPressure[];
}

type Reason = 'pressure_low' | 'others_full' | 'too_many' | 'too_few_nodes';

type Change =
  | {readonly kind: 'begun'}
  | {readonly kind: 'ended'; readonly reason: Reason; readonly afterMs: number};

/**
 * Decides whether an entry node asks the balancer for no new connections. It does
 * so only if other nodes of its zone have room, and few are withdrawn already.
 */
export class ReadinessPolicy {
  private relieved = false;
  private changedAt = Number.NEGATIVE_INFINITY;
  private aboveSince = Number.POSITIVE_INFINITY;
  private belowSince = Number.POSITIVE_INFINITY;

  constructor(private readonly node: string) {}

  /** Whether this node is withdrawn. */
  get isRelieved(): boolean {
    return this.relieved;
  }

  /** Evaluates the pressures; returns the change, if there is one. */
  update({now, pressure, peers}: Inputs): Change | undefined {
    this.aboveSince =
      pressure >= HIGH ? Math.min(this.aboveSince, now) : Infinity;
    this.belowSince =
      pressure <= LOW ? Math.min(this.belowSince, now) : Infinity;
    if (!this.relieved) {
      if (!this.mayBegin(now, pressure, peers)) return undefined;
      this.set(true, now);
      return {kind: 'begun'};
    }
    const reason = this.endReason(now, peers);
    if (!reason) return undefined;
    const afterMs = now - this.changedAt;
    this.set(false, now);
    return {kind: 'ended', reason, afterMs};
  }

  private mayBegin(
    now: number,
    pressure: number,
    peers: readonly PeerPressure[],
  ): boolean {
    if (now - this.aboveSince < BEGIN_AFTER_MS) return false;
    if (now - this.changedAt < MIN_STATE_MS) return false;
    const serving = peers.filter(p => !p.isRelieved);
    const free = maxWithdrawn(peers) - (peers.length - serving.length);
    if (free <= 0) return false;
    if (pressure - meanOf(serving) < MIN_LEAD) return false;
    // Nodes that decide at the same time agree on who is among the most loaded.
    const isAhead = (p: PeerPressure) =>
      p.pressure > pressure || (p.pressure === pressure && p.node < this.node);
    return serving.filter(isAhead).length < free;
  }

  private endReason(
    now: number,
    peers: readonly PeerPressure[],
  ): Reason | undefined {
    const allowed = maxWithdrawn(peers);
    if (allowed === 0) return 'too_few_nodes';
    if (now - this.changedAt < MIN_STATE_MS) return undefined;
    if (now - this.belowSince >= END_AFTER_MS) return 'pressure_low';
    const withdrawn = peers.filter(p => p.isRelieved);
    // Nodes that began at the same time, or nodes that have left since.
    const before = withdrawn.filter(p => p.node < this.node).length;
    if (before >= allowed) return 'too_many';
    const serving = peers.filter(p => !p.isRelieved);
    return meanOf(serving) >= HIGH ? 'others_full' : undefined;
  }

  private set(isRelieved: boolean, now: number): void {
    this.relieved = isRelieved;
    this.changedAt = now;
    this.aboveSince = Infinity;
    this.belowSince = Infinity;
  }
}

/** Number of nodes of the zone that may be withdrawn at a time. */
function maxWithdrawn(peers: readonly PeerPressure[]): number {
  return Math.floor((peers.length + 1) * MAX_WITHDRAWN);
}

function meanOf(peers: readonly PeerPressure[]): number {
  if (peers.length === 0) return 1;
  return peers.reduce((sum, p) => sum + p.pressure, 0) / peers.length;
}
