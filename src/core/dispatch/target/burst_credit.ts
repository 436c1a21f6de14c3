/**
 * Slot time that a class or tenant may use beyond its fair share because it
 * used less before. It averages bursts over a limited time. Usage is integrated
 * at each start and end of a task; periodic samples would be biased, because
 * they would be taken when slots become free.
 */
export class BurstCredit {
  private credit = 0;
  private share = 0;
  private running = 0;
  private usedSlotMs = 0;
  private changedAt: number | undefined;
  private accruedAt: number | undefined;

  /** Whether usage has exceeded the share by more than the credit. */
  get isExhausted(): boolean {
    return this.credit < 0;
  }

  /** Records the number of slots held from `now` on. */
  recordUsage(running: number, now: number): void {
    const elapsed = now - (this.changedAt ?? now);
    this.usedSlotMs += this.running * elapsed;
    this.running = running;
    this.changedAt = now;
  }

  /**
   * Adds the share earned and subtracts the slot time used since the last call,
   * then sets the share that applies from `now` on. Credit and debt are limited
   * to the slot time of the share during `windowMs`.
   */
  accrue(share: number, windowMs: number, now: number): void {
    this.recordUsage(this.running, now);
    const earned = this.share * (now - (this.accruedAt ?? now));
    const bound = windowMs * Math.max(1, share);
    const credit = this.credit + earned - this.usedSlotMs;
    this.credit = Math.max(-bound, Math.min(bound, credit));
    this.usedSlotMs = 0;
    this.share = share;
    this.accruedAt = now;
  }
}
