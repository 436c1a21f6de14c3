const ONE_WAY_MS = 0.5;

/** Links between the nodes and workers of a deployment, which can be cut. */
export abstract class DeploymentLinks {
  /** Delay of all messages from and to a node, in ms. */
  readonly linkDelayMs = new Map<string, number>();
  /** Delay of all messages to a node, in ms; its timers run on time. */
  readonly backlogMs = new Map<string, number>();
  protected readonly zoneOf = new Map<string, string>();
  private readonly cut = new Set<string>();

  /** Ids of nodes and workers in a zone. */
  inZone(zone: string): string[] {
    return [...this.zoneOf].filter(([, z]) => z === zone).map(([id]) => id);
  }

  outsideOf(zone: string): string[] {
    return [...this.zoneOf].filter(([, z]) => z !== zone).map(([id]) => id);
  }

  /** Cuts all links between two groups of nodes and workers. */
  isolate(group: readonly string[], others: readonly string[]): void {
    for (const a of group) {
      for (const b of others) {
        this.cut.add(`${a} ${b}`);
        this.cut.add(`${b} ${a}`);
      }
    }
  }

  /** Cuts the link from one node to another, in this direction only. */
  cutFrom(from: string, to: string): void {
    this.cut.add(`${from} ${to}`);
  }

  heal(): void {
    this.cut.clear();
  }

  protected isCut(a: string, b: string): boolean {
    return this.cut.has(`${a} ${b}`);
  }

  protected areLinked(a: string, b: string): boolean {
    return !this.isCut(a, b) && !this.isCut(b, a);
  }

  protected delayMs(a: string, b: string): number {
    const delays = this.linkDelayMs;
    const backlogMs = this.backlogMs.get(b) ?? 0;
    return ONE_WAY_MS + (delays.get(a) ?? 0) + (delays.get(b) ?? 0) + backlogMs;
  }
}
