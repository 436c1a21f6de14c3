/**
 * Slot-time that a class or tenant may use beyond its part, because it used
 * less before. It evens out bursts over a bounded time. Usage is counted at
 * each start and end, since samples would be taken just when slots get free.
 */
export class SlotCredit {
  private credit = 0;
  private part = 0;
  private running = 0;
  private usedMs = 0;
  private changedAt: number | undefined;
  private notedAt: number | undefined;

  /** True when the part was exceeded for longer than the credit lasted. */
  get isExhausted(): boolean {
    return this.credit < 0;
  }

  /** Notes how many slots are held from now on. */
  hold(running: number, now: number): void {
    const elapsed = now - (this.changedAt ?? now);
    this.usedMs += this.running * elapsed;
    this.running = running;
    this.changedAt = now;
  }

  /**
   * Settles the time since the last call and sets the part from now on;
   * `windowMs` bounds credit and debt to the part's slot-time of that length.
   */
  note(part: number, windowMs: number, now: number): void {
    this.hold(this.running, now);
    const earned = this.part * (now - (this.notedAt ?? now));
    const bound = windowMs * Math.max(1, part);
    const credit = this.credit + earned - this.usedMs;
    this.credit = Math.max(-bound, Math.min(bound, credit));
    this.usedMs = 0;
    this.part = part;
    this.notedAt = now;
  }
}
