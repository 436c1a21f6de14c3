/** Time constant of the average; longer than a scheduling period (0.1 s). */
const SMOOTHING_MS = 700;
/**
 * Average delay of a timer at which callers' requests clearly wait: the shortest
 * tasks take 50 to 60 ms, and their answers may take 60 ms more.
 */
const FULL_DELAY_MS = 60;

interface PressureSample {
  /** Time since the last sample, in ms. */
  readonly elapsedMs: number;
  /** Processor time that the process used in it, in ms. */
  readonly usedMs: number;
  /** Delay of the timer that took the sample, in ms. */
  readonly delayMs: number;
}

/**
 * How much the requests of a node wait for its thread, from 0 to 1: the use of
 * its share of a processor or the delay of its timers, whichever is worse.
 */
export class NodePressure {
  private use = 0;
  private delayMs = 0;

  /** `share` is the fraction of a processor that the node may use. */
  constructor(private readonly share: number) {}

  get value(): number {
    return Math.min(1, Math.max(this.use, this.delayMs / FULL_DELAY_MS));
  }

  record({elapsedMs, usedMs, delayMs}: PressureSample): void {
    if (elapsedMs <= 0) return;
    const weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
    const use = usedMs / (elapsedMs * this.share);
    this.use += weight * (use - this.use);
    this.delayMs += weight * (delayMs - this.delayMs);
  }
}
