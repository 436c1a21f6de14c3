/** A node that was not heard of for this long is taken for gone. */
const FORGET_MS = 10_000;
/** A lead that was not heard of for this long is taken for lost. */
const LEAD_SILENCE_MS = 800;

interface Lead {
  readonly node: string;
  readonly term: number;
  readonly reportAddress: string | undefined;
  readonly heardAt: number;
}

/** Nodes that a node knows of, and which of them leads. */
export class NodeDirectory {
  private readonly cores = new Map<string, number>();
  private readonly entries = new Map<string, number>();
  private last: Lead | undefined;

  /** `seeds` are core nodes that are always tried. */
  constructor(
    readonly node: string,
    private readonly seeds: readonly string[],
  ) {}

  note(node: string, role: 'entry' | 'core', now: number): void {
    (role === 'core' ? this.cores : this.entries).set(node, now);
  }

  /** Takes the claim of a node to lead; an older term is ignored. */
  noteLead(lead: Lead): void {
    if (this.last && lead.term < this.last.term) return;
    this.last = lead;
  }

  /** Forgets the lead of a node that says that it does not lead. */
  noteNoLead(node: string): void {
    if (this.last?.node === node) this.last = {...this.last, heardAt: -1e9};
  }

  lead(now: number): Lead | undefined {
    const {last} = this;
    return last && now - last.heardAt < LEAD_SILENCE_MS ? last : undefined;
  }

  coreIds(now: number): string[] {
    return [...new Set([...this.seeds, ...alive(this.cores, now)])];
  }

  entryIds(now: number): string[] {
    return alive(this.entries, now);
  }
}

function alive(nodes: Map<string, number>, now: number): string[] {
  for (const [node, at] of nodes) {
    if (now - at > FORGET_MS) nodes.delete(node);
  }
  return [...nodes.keys()];
}
