import {LeaseTiming} from './lease_timing.js';

const {PROBE_INTERVAL_MS, QUICK_PROBES, SLOW_PROBE_MS} = LeaseTiming;

/** When to look at a worker that does not answer. */
export class ProbePace {
  private misses = 0;
  private nextAt = 0;

  get isSilent(): boolean {
    return this.misses > 0;
  }

  /** Whether a look is due; if so, the next one is due after a pause. */
  takeDue(now: number): boolean {
    if (now < this.nextAt) return false;
    const isLongSilent = this.misses > QUICK_PROBES;
    this.nextAt = now + (isLongSilent ? SLOW_PROBE_MS : PROBE_INTERVAL_MS);
    return true;
  }

  /** Makes the next look due at once. */
  hurry(): void {
    this.nextAt = 0;
  }

  missed(): void {
    this.misses += 1;
    // The lease runs out soon; the look after the first miss must not wait.
    if (this.misses === 1) this.hurry();
  }

  answered(): void {
    this.misses = 0;
  }
}
