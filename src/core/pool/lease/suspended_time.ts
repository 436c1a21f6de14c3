/**
 * Time for which readings are compared, in ms. Contacts that are older permit no
 * lease, so suspensions before that do not matter.
 */
const RETENTION_MS = 1_300;

/** Tolerance for clocks in whole milliseconds and for small adjustments, in ms. */
const TOLERANCE_MS = 10;

/**
 * Suspensions of this node's machine, as the readings of a worker's clock show
 * them: the steady clock of a suspended machine stands still, so that the worker's
 * clock gets ahead of it. A late reply makes the worker's lead look smaller, and so
 * does a slow clock, so neither counts as a suspension.
 */
export class SuspendedTime {
  /** Upper bounds of the worker's lead over this clock, in two spans of time. */
  private earlierLead = Number.POSITIVE_INFINITY;
  private lead = Number.POSITIVE_INFINITY;
  private spanBegan = Number.NEGATIVE_INFINITY;
  private suspendedMs = 0;
  private detectedAt = Number.NEGATIVE_INFINITY;

  /** Least time for which the machine may have been suspended since `at`, in ms. */
  since(at: number): number {
    return at < this.detectedAt ? this.suspendedMs : 0;
  }

  /**
   * Records a reading of the worker's clock, which was taken between `earliestAt`
   * and `receivedAt`.
   */
  record(workerMs: number, earliestAt: number, receivedAt: number): void {
    if (receivedAt - this.spanBegan >= RETENTION_MS) {
      this.earlierLead = this.lead;
      this.lead = Number.POSITIVE_INFINITY;
      this.spanBegan = receivedAt;
    }
    if (receivedAt - this.detectedAt >= RETENTION_MS) this.suspendedMs = 0;
    const leadBefore = Math.min(this.earlierLead, this.lead);
    const gainedMs = workerMs - receivedAt - leadBefore;
    if (gainedMs > this.suspendedMs + TOLERANCE_MS) {
      this.suspendedMs = gainedMs;
      this.detectedAt = receivedAt;
    }
    this.lead = Math.min(this.lead, workerMs - earliestAt);
  }

  /** Discards the readings of an earlier process instance. */
  reset(): void {
    this.earlierLead = this.lead = Number.POSITIVE_INFINITY;
  }
}
