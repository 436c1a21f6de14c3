/** An entry node of the zone that was silent for this long counts as gone. */
const SILENCE_MS = 700;
/** An entry node that heard the lead this recently still counts as hearing it. */
const HAS_LEAD_MS = 1_000;

interface Mate {
  heardAt: number;
  hasLeadAt: number;
  mayFallBack: boolean;
}

/** What the other entry nodes of the zone say of the lead. */
export class ZonePeers {
  private readonly mates = new Map<string, Mate>();

  note(
    node: string,
    says: {readonly hasLead: boolean; readonly mayFallBack: boolean},
    now: number,
  ): void {
    const before = this.mates.get(node);
    this.mates.set(node, {
      heardAt: now,
      hasLeadAt: says.hasLead
        ? now
        : (before?.hasLeadAt ?? Number.NEGATIVE_INFINITY),
      mayFallBack: says.mayFallBack,
    });
  }

  /** Whether one of them hears the lead of the log. */
  haveLead(now: number): boolean {
    return [...this.mates.values()].some(m => now - m.hasLeadAt < HAS_LEAD_MS);
  }

  /** Whether this node comes before all that could dispatch for the zone. */
  isFirst(node: string, now: number): boolean {
    for (const [id, {heardAt, mayFallBack}] of this.mates) {
      if (id < node && mayFallBack && now - heardAt < SILENCE_MS) return false;
    }
    return true;
  }
}
