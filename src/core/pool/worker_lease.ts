/**
 * The largest difference in speed between a worker's clock and this one, as a
 * factor: workers' clocks may be 2% slow.
 */
const SLOWEST = 0.98;

/** Covers timers that fire late, on both sides. */
const LAPSE_SLACK_MS = 60;

/** A worker's lease in terms of its own clock, as its answers tell it. */
export class WorkerLease {
  private workerMs: number | undefined;
  private at = 0;
  private sentAt = Number.NEGATIVE_INFINITY;
  /** Latest lease end that was sent, on the worker's clock. */
  private end = 0;

  /** `leaseMs` is the longest lease that workers grant. */
  constructor(private readonly leaseMs: number) {}

  /** Whether the worker's clock is known. */
  get isKnown(): boolean {
    return this.workerMs !== undefined;
  }

  /** Takes an answer to a call that was sent at `sentAt`. */
  note(workerMs: number, sentAt: number, now: number): void {
    if (sentAt < this.sentAt) return;
    this.workerMs = workerMs;
    this.sentAt = sentAt;
    this.at = now;
  }

  /** Forgets the clock of an earlier life. */
  reset(): void {
    this.workerMs = undefined;
    this.sentAt = Number.NEGATIVE_INFINITY;
    this.end = 0;
  }

  /** End of a lease that is asked for now, on the worker's clock. */
  extend(now: number): number {
    const clockMs = Math.floor((this.workerMs ?? 0) + (now - this.at));
    const end = clockMs + this.leaseMs;
    this.end = Math.max(this.end, end);
    return end;
  }

  /** Whether the lease has certainly run out. */
  isOver(now: number): boolean {
    if (this.workerMs === undefined) return false;
    const leftMs = Math.max(0, this.end - this.workerMs) / SLOWEST;
    return now >= this.at + leftMs + LAPSE_SLACK_MS;
  }
}
