import {FailoverTiming} from './failover_timing.js';
import type {DispatcherClaim} from './dispatcher_claim.js';

/** A node that has sent nothing for this long is removed. */
const RETENTION_MS = 10_000;
/** Time for which a node known only through other nodes is contacted. */
const GOSSIP_MS = 3_000;

type Role = 'entry' | 'core';

/** Known nodes, and which of them dispatches. */
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
  /** Claim of the last known leader. */
  private last: DispatcherClaim | undefined;
  private fallback: DispatcherClaim | undefined;
  private maxToken = 0;

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

  /** Records a claim to dispatch; outdated claims are ignored. */
  recordClaim(claim: DispatcherClaim): void {
    this.recordToken(claim.token);
    if (claim.isFallback) {
      const known = this.fallback;
      const isKnown = known && isLive(known, claim.heardAt);
      if (isKnown && claim.token < known.token) return;
      this.fallback = claim;
    } else if (!this.last || claim.term >= this.last.term) this.last = claim;
  }

  /** Withdraws the claim of a node that does not dispatch. */
  clearClaim(node: string): void {
    if (this.fallback?.node === node) this.fallback = undefined;
    if (this.last?.node !== node) return;
    this.last = {...this.last, heardAt: Number.NEGATIVE_INFINITY};
  }

  /** Records a fencing token that is in use. */
  recordToken(token: number): void {
    this.maxToken = Math.max(this.maxToken, token);
  }

  /** Highest known fencing token. */
  get highestToken(): number {
    return this.maxToken;
  }

  /** Claim of the leader or, if there is none, of the fallback of this zone. */
  dispatcher(now: number): DispatcherClaim | undefined {
    const {last, fallback} = this;
    if (last && isLive(last, now)) return last;
    return fallback && isLive(fallback, now) ? fallback : undefined;
  }

  /** Last known leader of the log, even if contact to it is lost. */
  get lastLeader(): DispatcherClaim | undefined {
    return this.last;
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

function isLive(claim: DispatcherClaim, now: number): boolean {
  return now - claim.heardAt < FailoverTiming.DISPATCHER_TIMEOUT_MS;
}

function pruneSeenBefore(nodes: Map<string, number>, since: number): string[] {
  for (const [node, at] of nodes) {
    if (at < since) nodes.delete(node);
  }
  return [...nodes.keys()];
}
