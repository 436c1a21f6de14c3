import {DispatcherClaims} from './dispatcher_claims.js';
import {PeerClock} from './peer_clock.js';

/** A node that has sent nothing for this long is removed. */
const RETENTION_MS = 10_000;
/** Time for which a node known only through other nodes is contacted. */
const GOSSIP_MS = 3_000;

type Role = 'entry' | 'core';

/** Known nodes, and which of them claim to dispatch. */
export class NodeDirectory {
  private readonly seen = {
    core: new Map<string, number>(),
    entry: new Map<string, number>(),
  };
  /**
   * Nodes that only other nodes have seen. They are not passed on, since removed
   * nodes would otherwise circulate forever.
   */
  private readonly gossiped = {
    core: new Map<string, number>(),
    entry: new Map<string, number>(),
  };
  private readonly relays = new Set<string>();
  private readonly zones = new Map<string, string>();
  /** Nodes whose older process does not know claims by zone. */
  private readonly unzoned = new Set<string>();
  /** Start time of each core node's process, and since when it is known. */
  private readonly processes = new Map<string, {at: number; since: number}>();
  private readonly clocks = new Map<string, PeerClock>();
  /** Claims to dispatch. */
  readonly claims = new DispatcherClaims();

  /** `seeds` are core nodes that are always contacted. */
  constructor(
    readonly node: string,
    private seeds: readonly string[],
  ) {}

  /** Replaces the seeds after a change of settings. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Records a message from a node; returns whether the node is new. */
  recordSeen(node: string, role: Role, now: number, zone?: string): boolean {
    if (zone !== undefined) this.zones.set(node, zone);
    if (node === this.node) return false;
    const isNew = !this.seen[role].has(node);
    this.seen[role].set(node, now);
    return isNew;
  }

  /** Records whether a node relays orders to workers. */
  setRelay(node: string, relays: boolean): void {
    if (relays) this.relays.add(node);
    else this.relays.delete(node);
  }

  /** Nodes of a role that relay orders and have been seen since `since`. */
  relayIds(role: Role, since: number): string[] {
    return [...this.relays].filter(id => this.seenAt(role, id) >= since);
  }

  /** Availability zone of a node, as stated by the node. */
  zoneOf(node: string): string | undefined {
    return this.zones.get(node);
  }

  /** Groups nodes by their zones. */
  groupByZone(nodes: readonly string[]): Map<string | undefined, string[]> {
    const byZone = new Map<string | undefined, string[]>();
    for (const node of nodes) {
      const known = byZone.get(this.zoneOf(node));
      if (known) known.push(node);
      else byZone.set(this.zoneOf(node), [node]);
    }
    return byZone;
  }

  /** Records nodes that another node has seen. */
  recordGossip(nodes: readonly string[], role: Role, now: number): void {
    for (const node of nodes) {
      if (node !== this.node) this.gossiped[role].set(node, now);
    }
  }

  /** Records whether a node knows claims by zone. */
  setZoned(node: string, isZoned: boolean): void {
    if (isZoned) this.unzoned.delete(node);
    else this.unzoned.add(node);
  }

  /** Whether a node knows claims by zone; an older process does not. */
  isZoned(node: string): boolean {
    return !this.unzoned.has(node);
  }

  /** Records when the process of a core node started, as stated by the node. */
  setStartedAt(node: string, at: number | undefined, now: number): void {
    if (at === undefined || this.processes.get(node)?.at === at) return;
    this.processes.set(node, {at, since: now});
  }

  /** Records the time of a node's clock at which it stated a message. */
  recordClock(node: string, statedAt: number | undefined, now: number): void {
    if (statedAt === undefined) return;
    let clock = this.clocks.get(node);
    if (!clock) {
      clock = new PeerClock();
      this.clocks.set(node, clock);
    }
    clock.record(statedAt, now);
  }

  /** Reading of a node's clock, not ahead of it; undefined for an older node. */
  clockOf(node: string, now: number): number | undefined {
    return this.clocks.get(node)?.read(now);
  }

  /** When the process of a core node started, as stated by the node. */
  startedAt(node: string): number | undefined {
    return this.processes.get(node)?.at;
  }

  /** Since when the process of a core node has been known here. */
  knownSince(node: string): number {
    return this.processes.get(node)?.since ?? Number.POSITIVE_INFINITY;
  }

  /** Whether a node relays orders; a node that drains does not. */
  isRelay(node: string): boolean {
    return this.relays.has(node);
  }

  /** Nodes that were seen recently. */
  seenIds(role: Role, now: number): string[] {
    return pruneSeenBefore(this.seen[role], now - RETENTION_MS);
  }

  /** When a node was last seen; negative infinity if never. */
  seenAt(role: Role, node: string): number {
    return this.seen[role].get(node) ?? Number.NEGATIVE_INFINITY;
  }

  /** Core nodes to send to. */
  coreIds(now: number): string[] {
    return [...new Set([...this.seeds, ...this.reachable('core', now)])];
  }

  /** Entry nodes to send to. */
  entryIds(now: number): string[] {
    return this.reachable('entry', now);
  }

  private reachable(role: Role, now: number): string[] {
    const gossiped = pruneSeenBefore(this.gossiped[role], now - GOSSIP_MS);
    return [...new Set([...this.seenIds(role, now), ...gossiped])];
  }
}

function pruneSeenBefore(nodes: Map<string, number>, since: number): string[] {
  for (const [node, at] of nodes) {
    if (at < since) nodes.delete(node);
  }
  return [...nodes.keys()];
}
