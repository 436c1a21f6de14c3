/**
 * Slot-time that a class or tenant may use beyond its part, because it used
 * less before. It evens out bursts over a bounded time.
 */
export class SlotCredit {
  private credit = 0;
  private last: number | undefined;

  /** True when the part was exceeded for longer than the credit lasted. */
  get isExhausted(): boolean {
    return this.credit < 0;
  }

  /**
   * Counts the time since the last call; `windowMs` bounds credit and debt to
   * the part's slot-time of that length.
   */
  note(part: number, running: number, windowMs: number, now: number): void {
    const elapsed = this.last === undefined ? 0 : now - this.last;
    this.last = now;
    const bound = windowMs * Math.max(1, part);
    const credit = this.credit + (part - running) * elapsed;
    this.credit = Math.max(-bound, Math.min(bound, credit));
  }
}
