/** Minimum rate of a worker's clock relative to this one; it may be 2% slow. */
const MIN_CLOCK_RATE = 0.98;

/** Tolerance for timers that fire late on either side. */
const EXPIRY_SLACK_MS = 60;

/** A worker's lease, in terms of the worker's clock as read from replies. */
export class WorkerLease {
  private workerClockMs: number | undefined;
  private receivedAt = 0;
  private sentAt = Number.NEGATIVE_INFINITY;
  /** Latest lease end that was sent, on the worker's clock. */
  private end = 0;

  /** `leaseMs` is the longest lease that workers grant, in ms. */
  constructor(private readonly leaseMs: number) {}

  /** Whether a reading of the worker's clock is available. */
  get isClockKnown(): boolean {
    return this.workerClockMs !== undefined;
  }

  /** Stores the clock reading of the reply to an order sent at `sentAt`. */
  updateClock(workerMs: number, sentAt: number, now: number): void {
    if (sentAt < this.sentAt) return;
    this.workerClockMs = workerMs;
    this.sentAt = sentAt;
    this.receivedAt = now;
  }

  /** Discards the clock reading of an earlier process instance. */
  reset(): void {
    this.workerClockMs = undefined;
    this.sentAt = Number.NEGATIVE_INFINITY;
    this.end = 0;
  }

  /** Extends the lease; returns its end on the worker's clock, in ms. */
  extend(now: number): number {
    const clockMs = Math.floor(
      (this.workerClockMs ?? 0) + (now - this.receivedAt),
    );
    const end = clockMs + this.leaseMs;
    this.end = Math.max(this.end, end);
    return end;
  }

  /** What an expiry is based on; empty without a reading of the clock. */
  describe(now: number): {clockAgeMs?: number; leaseLeftMs?: number} {
    if (this.workerClockMs === undefined) return {};
    const leaseLeftMs = Math.max(0, this.end - this.workerClockMs);
    return {clockAgeMs: now - this.receivedAt, leaseLeftMs};
  }

  /** Whether the lease has certainly expired. */
  isExpired(now: number): boolean {
    if (this.workerClockMs === undefined) return false;
    const leftMs = Math.max(0, this.end - this.workerClockMs) / MIN_CLOCK_RATE;
    return now >= this.receivedAt + leftMs + EXPIRY_SLACK_MS;
  }
}
