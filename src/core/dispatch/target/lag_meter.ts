/** Lag from which refusing must relieve the event loop. */
const MAX_LAG_MS = 100;
/** Weight of the newest reading. */
const LAG_WEIGHT = 0.3;
const WINDOW_MS = 1_000;

/**
 * Event-loop lag of the dispatcher, and which classes cause it. The cost of a
 * dispatcher grows with the tasks it admits, whatever their run time.
 */
export class LagMeter {
  /** Smoothed lag in milliseconds. */
  lagMs = 0;
  private counts = new Map<string, number>();
  private total = 0;
  private windowEnd = 0;

  note(lagMs: number): void {
    this.lagMs += LAG_WEIGHT * (lagMs - this.lagMs);
  }

  get isOverloaded(): boolean {
    return this.lagMs > MAX_LAG_MS;
  }

  /** Counts admitted tasks of a class. */
  count(className: string, tasks: number, now: number): void {
    if (now >= this.windowEnd) {
      this.windowEnd = now + WINDOW_MS;
      for (const [name, count] of this.counts) {
        if (count < 1) this.counts.delete(name);
        else this.counts.set(name, count / 2);
      }
      this.total /= 2;
    }
    this.counts.set(className, (this.counts.get(className) ?? 0) + tasks);
    this.total += tasks;
  }

  /** Whether the class brings at least an equal part of the recent tasks. */
  isHeavy(className: string): boolean {
    const count = this.counts.get(className) ?? 0;
    return count * this.counts.size >= this.total && count > 0;
  }

  reset(): void {
    this.counts = new Map();
    this.total = 0;
  }
}
