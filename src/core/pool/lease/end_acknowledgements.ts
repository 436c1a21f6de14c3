import {LeaseTiming} from './lease_timing.js';

interface HeldEnd {
  readonly number: number;
  readonly receivedAt: number;
}

/**
 * Acknowledges the run ends that one process instance of a worker lists. An end
 * stays on the worker's list until the nodes that may dispatch next have recorded
 * it, so that they know which jobs have run; see StartProof.
 */
export class EndAcknowledgements {
  private readonly held: HeldEnd[] = [];
  private received = 0;
  private receivedAt = 0;
  private acknowledged = 0;

  /** `recordedUntil` is the time up to which received ends are recorded. */
  constructor(private readonly recordedUntil: () => number = () => Infinity) {}

  /** Whether ends wait for their record. */
  get isHolding(): boolean {
    return this.held.length > 0;
  }

  /** Records a listed end; returns false if it was received before. */
  receive(number: number, now: number): boolean {
    if (number <= this.received) return false;
    this.received = number;
    this.receivedAt = now;
    this.held.push({number, receivedAt: now});
    return true;
  }

  /**
   * Whether a poll may wait for the next end. A worker does not delay its reply
   * while an end is unacknowledged, so polls would follow each other at once.
   */
  mayPoll(now: number): boolean {
    const newest = this.held.at(-1);
    if (!newest || this.isReleased(newest, now)) return true;
    return now - this.receivedAt >= LeaseTiming.HELD_POLL_MS;
  }

  /** Whether ends of an idle worker should be acknowledged now. */
  isDue(now: number): boolean {
    const [oldest] = this.held;
    if (!oldest || !this.isReleased(oldest, now)) return false;
    return now - oldest.receivedAt >= LeaseTiming.IDLE_ACK_MS;
  }

  /** Number of the last end that is acknowledged, to be sent with a poll. */
  take(now: number): number {
    const kept = this.held.findIndex(end => !this.isReleased(end, now));
    const released = this.held.splice(0, kept < 0 ? this.held.length : kept);
    this.acknowledged = released.at(-1)?.number ?? this.acknowledged;
    // The reply to this poll shows what has ended since.
    if (this.isHolding) this.receivedAt = now;
    return this.acknowledged;
  }

  /** Starts anew, for another process instance. */
  reset(): void {
    this.held.length = 0;
    this.received = 0;
    this.acknowledged = 0;
  }

  private isReleased({receivedAt}: HeldEnd, now: number): boolean {
    if (receivedAt < this.recordedUntil()) return true;
    return now - receivedAt >= LeaseTiming.MAX_END_HOLD_MS;
  }
}
