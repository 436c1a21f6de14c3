interface Disruption {
  readonly at: number;
  readonly text: string;
  /** Infinity while it lasts. */
  until: number;
  /** Core processes that are killed, stopped, started, suspended or cut off. */
  readonly cores: ReadonlySet<string>;
  /** Entry processes for which that holds, or whose links are disturbed. */
  readonly entries: ReadonlySet<string>;
  /** Whether links of the core are disturbed. */
  readonly isLinkFault: boolean;
  /** Whether it is the final fault, after which the time to be in touch doubles. */
  readonly isFinal: boolean;
}

/**
 * Decides which processes are in touch. A disruption that lasts at any moment from
 * `contactMs` before a request until its answer counts, which is stricter than the
 * rule and so reports fewer violations.
 */
export class DisruptionLog {
  readonly disruptions: Disruption[] = [];

  constructor(
    private readonly contactMs: number,
    private readonly coreCount: number,
  ) {}

  add(
    at: number,
    text: string,
    hit: {
      cores?: string[];
      entries?: string[];
      isLinkFault?: boolean;
      isFinal?: boolean;
    },
  ): Disruption {
    const {cores = [], entries = []} = hit;
    const {isLinkFault = false, isFinal = false} = hit;
    const disruption = {
      ...{at, text, until: Number.POSITIVE_INFINITY, isLinkFault, isFinal},
      cores: new Set(cores),
      entries: new Set(entries),
    };
    this.disruptions.push(disruption);
    return disruption;
  }

  /** Whether an entry process is in touch during a request. */
  isInTouch(entry: string, sentAt: number, endedAt: number): boolean {
    return this.within(sentAt, endedAt).every(
      each =>
        each.cores.size === 0 && !each.isLinkFault && !each.entries.has(entry),
    );
  }

  /**
   * Whether only core processes are disturbed, and more than half of them ran
   * undisturbed from `sinceAt` to the end of the request.
   */
  isOuter(entry: string, sinceAt: number, endedAt: number): boolean {
    const hit = new Set<string>();
    for (const each of this.within(sinceAt, endedAt)) {
      if (each.isLinkFault || each.entries.has(entry)) return false;
      for (const core of each.cores) hit.add(core);
    }
    return this.coreCount - hit.size > this.coreCount / 2;
  }

  private within(from: number, to: number): Disruption[] {
    return this.disruptions.filter(({at, until, isFinal}) => {
      const contactMs = this.contactMs * (isFinal ? 2 : 1);
      return at <= to && until >= from - contactMs;
    });
  }
}
