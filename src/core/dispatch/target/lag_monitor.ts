/** Event-loop lag above which new jobs are refused to shed load. */
const MAX_LAG_MS = 100;
/** Weight of the newest measurement in the moving average. */
const LAG_WEIGHT = 0.3;
/** Interval after which the counts of admitted tasks are halved. */
const WINDOW_MS = 1_000;

/**
 * Tracks the event-loop lag of the dispatcher and which classes cause it. The
 * load on a dispatcher grows with the number of tasks that it admits, whatever
 * their run time.
 */
export class LagMonitor {
  /** Smoothed lag in milliseconds. */
  lagMs = 0;
  private counts = new Map<string, number>();
  private total = 0;
  private windowEnd = 0;

  record(lagMs: number): void {
    this.lagMs += LAG_WEIGHT * (lagMs - this.lagMs);
  }

  get isOverloaded(): boolean {
    return this.lagMs > MAX_LAG_MS;
  }

  /** Adds admitted tasks to the recent load of a class. */
  recordAdmitted(className: string, tasks: number, now: number): void {
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

  /** Whether the class submitted at least an average number of tasks lately. */
  hasAboveAverageLoad(className: string): boolean {
    const count = this.counts.get(className) ?? 0;
    return count * this.counts.size >= this.total && count > 0;
  }

  reset(): void {
    this.counts = new Map();
    this.total = 0;
  }
}
