import {LeaseTiming} from './lease_timing.js';

interface HeldEnd {
  readonly number: number;
  readonly receivedAt: number;
}

/**
 * Acknowledges the run ends that one process instance of a worker lists. Each
 * end stays on the worker's list for a while, so that the next dispatcher sees
 * which jobs have run; see StartProof.
 */
export class EndAcknowledgements {
  private readonly held: HeldEnd[] = [];
  private received = 0;
  private sent = 0;

  /** Records a listed end; returns false if it was received before. */
  receive(number: number, now: number): boolean {
    if (number <= this.received) return false;
    this.received = number;
    this.held.push({number, receivedAt: now});
    return true;
  }

  /** Whether ends of an idle worker should be acknowledged now. */
  isDue(now: number): boolean {
    const [oldest] = this.held;
    if (!oldest) return false;
    return now - oldest.receivedAt >= LeaseTiming.MAX_END_HOLD_MS;
  }

  /** Number of the last end that is acknowledged, to be sent with a poll. */
  take(now: number): number {
    const heldSince = now - LeaseTiming.MIN_END_HOLD_MS;
    const kept = this.held.findIndex(end => end.receivedAt > heldSince);
    const released = this.held.splice(0, kept < 0 ? this.held.length : kept);
    this.sent = released.at(-1)?.number ?? this.sent;
    return this.sent;
  }

  /** Starts anew, for another process instance. */
  reset(): void {
    this.held.length = 0;
    this.received = 0;
    this.sent = 0;
  }
}
