import {LeaseTiming} from './lease_timing.js';

/** Acknowledges the run ends that one process instance of a worker lists. */
export class EndAcknowledgements {
  private received = 0;
  private sent = 0;
  private receivedAt = 0;

  /** Records a listed end; returns false if it was received before. */
  receive(number: number, now: number): boolean {
    if (number <= this.received) return false;
    this.received = number;
    this.receivedAt = now;
    return true;
  }

  /** Whether ends of an idle worker should be acknowledged now. */
  isDue(now: number): boolean {
    if (this.received <= this.sent) return false;
    return now - this.receivedAt >= LeaseTiming.IDLE_ACK_MS;
  }

  /** Number of the last end received, to be sent with a poll. */
  take(): number {
    this.sent = this.received;
    return this.received;
  }

  /** Starts anew, for another process instance. */
  reset(): void {
    this.received = 0;
    this.sent = 0;
  }
}
