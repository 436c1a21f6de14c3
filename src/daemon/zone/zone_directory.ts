interface DirectoryNode {
  readonly id: string;
  readonly zone: string;
}

/** The zones, their nodes, and which node led each zone when last heard. */
export class ZoneDirectory {
  readonly zones: readonly string[];
  private readonly members = new Map<string, string[]>();
  private readonly leaders = new Map<string, string>();
  private readonly turns = new Map<string, number>();

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

  /** The node that led the zone when last heard. */
  leader(zone: string): string | undefined {
    return this.leaders.get(zone);
  }

  /** The node to ask: the last known leader, else each member in turn. */
  pickNode(zone: string): string {
    const leader = this.leaders.get(zone);
    if (leader !== undefined) return leader;
    const ids = this.nodes(zone);
    const turn = this.turns.get(zone) ?? 0;
    this.turns.set(zone, turn + 1);
    return ids[turn % ids.length] ?? '';
  }

  setLeader(zone: string, node: string | undefined): void {
    if (node === undefined) this.leaders.delete(zone);
    else this.leaders.set(zone, node);
  }
}
