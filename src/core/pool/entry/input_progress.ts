import type {Clock} from '../../clock/clock.js';

/** Interval at which the progress is measured. */
const INTERVAL_MS = 100;

/**
 * Up to when an entry node has handled what has arrived from its callers. A caller
 * whose job is open, or is read now, certainly waited at that time, or has sent it
 * later; what its event loop has not read yet may tell that the caller has gone since.
 */
export class InputProgress {
  private nextAt = Number.NEGATIVE_INFINITY;
  private isMeasuring = false;
  private connections = 0;
  private handledAt: number;
  private acceptedAt: number;

  constructor(private readonly clock: Clock) {
    this.handledAt = this.acceptedAt = clock.now();
  }

  /** All that had arrived on open connections by this time has been handled. */
  get handledUpTo(): number {
    return this.handledAt;
  }

  /** The same of connections that were waiting to be accepted. */
  get acceptedUpTo(): number {
    return this.acceptedAt;
  }

  /** Records that a connection was accepted, of which a turn accepts one only. */
  recordConnection(): void {
    this.connections += 1;
  }

  tick(now: number): void {
    if (now < this.nextAt || this.isMeasuring) return;
    this.nextAt = now + INTERVAL_MS;
    this.isMeasuring = true;
    this.measure();
  }

  /** Measures until a turn accepts no connection, since none was left then. */
  private measure(): void {
    const since = this.clock.now();
    const {connections} = this;
    this.clock.afterInput(() => {
      this.handledAt = since;
      if (this.connections !== connections) return this.measure();
      this.acceptedAt = since;
      this.isMeasuring = false;
    });
  }
}
