import {LeaseTiming} from './lease_timing.js';

const {PROBE_INTERVAL_MS, FAST_PROBES, SLOW_PROBE_INTERVAL_MS} = LeaseTiming;

/** Schedules polls of a worker that does not reply. */
export class ProbeBackoff {
  private timeouts = 0;
  private nextAt = 0;
  /** Whether a connection to the worker was refused since its last reply. */
  isRefused = false;

  get isSilent(): boolean {
    return this.timeouts > 0;
  }

  /** Whether a poll is due; if so, schedules the next one after a pause. */
  takeIfDue(now: number): boolean {
    if (now < this.nextAt) return false;
    const isSlow = this.timeouts > FAST_PROBES;
    this.nextAt = now + (isSlow ? SLOW_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
    return true;
  }

  /** Makes the next poll due immediately. */
  makeDue(): void {
    this.nextAt = 0;
  }

  onTimeout(isRefused = false): void {
    this.isRefused ||= isRefused;
    this.timeouts += 1;
    // The lease expires soon, so the first timeout is retried immediately.
    if (this.timeouts === 1) this.makeDue();
  }

  onReply(): void {
    this.timeouts = 0;
    this.isRefused = false;
  }
}
