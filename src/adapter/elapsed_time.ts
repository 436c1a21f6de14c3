import {performance} from 'node:perf_hooks';

/** Tolerance for whole milliseconds and for slow adjustments of the system time. */
const TOLERANCE_MS = 20;

interface TimeSources {
  /** Steady time, which stands still while the machine is suspended. */
  readonly steady: () => number;
  /** Time of day, which does not stand still but may be set. */
  readonly system: () => number;
}

const SYSTEM_SOURCES: TimeSources = {
  steady: () => performance.timeOrigin + performance.now(),
  system: () => Date.now(),
};

/**
 * Monotonic time that includes suspensions of the machine, in ms. What the time of
 * day gains on the steady time counts as a suspension, also if an operator has set
 * it forward: the elapsed time may be overstated, but not understated.
 */
export class ElapsedTime {
  private suspendedMs = 0;
  private leadMs: number;

  constructor(private readonly sources: TimeSources = SYSTEM_SOURCES) {
    this.leadMs = sources.system() - sources.steady();
  }

  now(): number {
    const steady = this.sources.steady();
    const leadMs = this.sources.system() - steady;
    const gainedMs = leadMs - this.leadMs;
    if (gainedMs > TOLERANCE_MS) this.suspendedMs += gainedMs;
    this.leadMs = leadMs;
    return steady + this.suspendedMs;
  }
}
