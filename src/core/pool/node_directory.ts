/** A node that was not heard of for this long is taken for gone. */
const FORGET_MS = 10_000;
/** A node that only others know is tried for this long. */
const RUMOUR_MS = 3_000;
/** A lead that was not heard of for this long is taken for lost. */
const LEAD_SILENCE_MS = 600;

interface Lead {
  readonly node: string;
  readonly term: number;
  readonly reportAddress: string | undefined;
  readonly heardAt: number;
}

type Role = 'entry' | 'core';

/** Nodes that a node knows of, and which of them leads. */
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
  private last: Lead | undefined;

  /** `seeds` are core nodes that are always tried. */
  constructor(
    readonly node: string,
    private readonly seeds: readonly string[],
  ) {}

  /** Notes a node that was heard; returns whether it was not known. */
  note(node: string, role: Role, now: number): boolean {
    if (node === this.node) return false;
    const isNew = !this.heard[role].has(node);
    this.heard[role].set(node, now);
    return isNew;
  }

  /** Notes nodes that another one has heard. */
  noteRumour(nodes: readonly string[], role: Role, now: number): void {
    for (const node of nodes) {
      if (node !== this.node) this.rumoured[role].set(node, now);
    }
  }

  /** Takes the claim of a node to lead; an older term is ignored. */
  noteLead(lead: Lead): void {
    if (this.last && lead.term < this.last.term) return;
    this.last = lead;
  }

  /** Forgets the lead of a node that says that it does not lead. */
  noteNoLead(node: string): void {
    if (this.last?.node !== node) return;
    this.last = {...this.last, heardAt: Number.NEGATIVE_INFINITY};
  }

  lead(now: number): Lead | undefined {
    const {last} = this;
    return last && now - last.heardAt < LEAD_SILENCE_MS ? last : undefined;
  }

  /** Nodes that were heard not long ago. */
  heardIds(role: Role, now: number): string[] {
    return alive(this.heard[role], now - FORGET_MS);
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

function alive(nodes: Map<string, number>, since: number): string[] {
  for (const [node, at] of nodes) {
    if (at < since) nodes.delete(node);
  }
  return [...nodes.keys()];
}
