/** Time for which readings are compared; clocks differ little within it. */
const SPAN_MS = 3_000;

/** A reading that is further behind is of another process or machine start. */
const MAX_DELAY_MS = 1_000;

/**
 * Clock of another node, estimated from the times that its messages state. A
 * message takes time, so the estimate is never ahead of the node's clock.
 */
export class PeerClock {
  /** Leads of the node's clock over this one, in two spans of time. */
  private earlierLeadMs = Number.NEGATIVE_INFINITY;
  private leadMs = Number.NEGATIVE_INFINITY;
  private spanBegan = Number.NEGATIVE_INFINITY;

  /** Records a message that was stated at `statedAt` on the node's clock. */
  record(statedAt: number, receivedAt: number): void {
    const leadMs = statedAt - receivedAt;
    const isOther = leadMs < this.knownLeadMs - MAX_DELAY_MS;
    if (isOther) this.earlierLeadMs = this.leadMs = leadMs;
    if (receivedAt - this.spanBegan >= SPAN_MS) {
      this.earlierLeadMs = this.leadMs;
      this.leadMs = leadMs;
      this.spanBegan = receivedAt;
    }
    this.leadMs = Math.max(this.leadMs, leadMs);
  }

  /** Estimate of the node's clock; not ahead of it. */
  read(now: number): number {
    return now + this.knownLeadMs;
  }

  private get knownLeadMs(): number {
    return Math.max(this.earlierLeadMs, this.leadMs);
  }
}
