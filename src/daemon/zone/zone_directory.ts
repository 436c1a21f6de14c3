interface DirectoryNode {
  readonly id: string;
  readonly zone: string;
}

/** Zones, their nodes, and the last known dispatcher of each zone. */
export class ZoneDirectory {
  readonly zones: readonly string[];
  private readonly members = new Map<string, string[]>();
  private readonly leaders = new Map<string, string>();
  private readonly nextIndexes = new Map<string, number>();

  constructor(nodes: readonly DirectoryNode[]) {
    for (const {id, zone} of nodes) {
      const ids = this.members.get(zone) ?? [];
      ids.push(id);
      this.members.set(zone, ids);
    }
    this.zones = [...this.members.keys()].sort();
  }

  nodes(zone: string): readonly string[] {
    return this.members.get(zone) ?? [];
  }

  /** Returns the last known dispatcher of a zone. */
  leader(zone: string): string | undefined {
    return this.leaders.get(zone);
  }

  /** Picks the last known dispatcher of a zone, or else its nodes round-robin. */
  pickNode(zone: string): string {
    const leader = this.leaders.get(zone);
    if (leader !== undefined) return leader;
    const ids = this.nodes(zone);
    const nextIndex = this.nextIndexes.get(zone) ?? 0;
    this.nextIndexes.set(zone, nextIndex + 1);
    return ids[nextIndex % ids.length] ?? '';
  }

  setLeader(zone: string, node: string | undefined): void {
    if (node === undefined) this.leaders.delete(zone);
    else this.leaders.set(zone, node);
  }
}
