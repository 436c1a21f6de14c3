import {LeadTiming} from './lead_timing.js';
import type {PoolLead} from './pool_lead.js';

/** A node that was not heard of for this long is taken for gone. */
const FORGET_MS = 10_000;
/** A node that only others know is tried for this long. */
const RUMOUR_MS = 3_000;

type Role = 'entry' | 'core';

/** Nodes that a node knows of, and which of them dispatches. */
export class NodeDirectory {
  private readonly heard = {
    core: new Map<string, number>(),
    entry: new Map<string, number>(),
  };
  /** Kept apart, so that nodes which are gone do not go round for good. */
  private readonly rumoured = {
    core: new Map<string, number>(),
    entry: new Map<string, number>(),
  };
  private readonly relays = new Set<string>();
  private readonly zones = new Map<string, string>();
  private last: PoolLead | undefined;
  private fallback: PoolLead | undefined;
  private token = 0;

  /** `seeds` are core nodes that are always tried. */
  constructor(
    readonly node: string,
    private seeds: readonly string[],
  ) {}

  /** Takes the seeds of newer settings. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Notes a node that was heard; returns whether it was not known. */
  note(node: string, role: Role, now: number, zone?: string): boolean {
    if (zone !== undefined) this.zones.set(node, zone);
    if (node === this.node) return false;
    const isNew = !this.heard[role].has(node);
    this.heard[role].set(node, now);
    return isNew;
  }

  /** Notes whether an entry node carries out orders to workers. */
  noteRelay(node: string, relays: boolean): void {
    if (relays) this.relays.add(node);
    else this.relays.delete(node);
  }

  /** Entry nodes that carry out orders and were heard since then. */
  relayIds(since: number): string[] {
    return [...this.relays].filter(id => this.heardAt('entry', id) >= since);
  }

  /** Availability zone of a node, as it has told. */
  zoneOf(node: string): string | undefined {
    return this.zones.get(node);
  }

  /** Notes nodes that another one has heard. */
  noteRumour(nodes: readonly string[], role: Role, now: number): void {
    for (const node of nodes) {
      if (node !== this.node) this.rumoured[role].set(node, now);
    }
  }

  /** Takes the claim of a node to dispatch; an older one is ignored. */
  noteLead(lead: PoolLead): void {
    this.noteToken(lead.token);
    if (lead.isFallback) {
      const known = this.fallback;
      const isKnown = known && isHeard(known, lead.heardAt);
      if (isKnown && lead.token < known.token) return;
      this.fallback = lead;
    } else if (!this.last || lead.term >= this.last.term) this.last = lead;
  }

  /** Forgets the claim of a node that says that it does not dispatch. */
  noteNoLead(node: string): void {
    if (this.fallback?.node === node) this.fallback = undefined;
    if (this.last?.node !== node) return;
    this.last = {...this.last, heardAt: Number.NEGATIVE_INFINITY};
  }

  /** Notes a fencing token that is in use somewhere. */
  noteToken(token: number): void {
    this.token = Math.max(this.token, token);
  }

  /** The highest fencing token that is known. */
  get highestToken(): number {
    return this.token;
  }

  /** The lead of the log, or else the fallback that serves this zone. */
  lead(now: number): PoolLead | undefined {
    const {last, fallback} = this;
    if (last && isHeard(last, now)) return last;
    return fallback && isHeard(fallback, now) ? fallback : undefined;
  }

  /** The last known lead of the log, however long ago it was heard. */
  get lastLead(): PoolLead | undefined {
    return this.last;
  }

  /** Nodes that were heard not long ago. */
  heardIds(role: Role, now: number): string[] {
    return alive(this.heard[role], now - FORGET_MS);
  }

  /** When a node was last heard itself. */
  heardAt(role: Role, node: string): number {
    return this.heard[role].get(node) ?? Number.NEGATIVE_INFINITY;
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
    const rumoured = alive(this.rumoured[role], now - RUMOUR_MS);
    return [...new Set([...this.heardIds(role, now), ...rumoured])];
  }
}

function isHeard(lead: PoolLead, now: number): boolean {
  return now - lead.heardAt < LeadTiming.SILENCE_MS;
}

function alive(nodes: Map<string, number>, since: number): string[] {
  for (const [node, at] of nodes) {
    if (at < since) nodes.delete(node);
  }
  return [...nodes.keys()];
}
