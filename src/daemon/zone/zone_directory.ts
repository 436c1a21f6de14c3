interface DirectoryNode {
  readonly id: string;
  readonly zone: string;
}

/** Zones, their nodes, and the last known dispatcher of each zone. */
export class ZoneDirectory {
  readonly zones: readonly string[];
  private readonly members = new Map<string, string[]>();
  private readonly dispatchers = new Map<string, string>();
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
  dispatcher(zone: string): string | undefined {
    return this.dispatchers.get(zone);
  }

  /** Picks the last known dispatcher of a zone, or else its nodes round-robin. */
  pickNode(zone: string): string {
    const dispatcher = this.dispatchers.get(zone);
    if (dispatcher !== undefined) return dispatcher;
    const ids = this.nodes(zone);
    const nextIndex = this.nextIndexes.get(zone) ?? 0;
    this.nextIndexes.set(zone, nextIndex + 1);
    return ids[nextIndex % ids.length] ?? '';
  }

  setDispatcher(zone: string, node: string | undefined): void {
    if (node === undefined) this.dispatchers.delete(zone);
    else this.dispatchers.set(zone, node);
  }
}
