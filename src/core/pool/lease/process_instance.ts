import type {Run} from './run.js';

/** Process instance of a worker, as its replies show it. */
export class ProcessInstance {
  private current: number | undefined;
  private previous = 0;
  private changedAt = Number.NEGATIVE_INFINITY;
  /** When the last order was sent to which the present process has replied. */
  private sentAt = Number.NEGATIVE_INFINITY;

  /** Start time in ms since the Unix epoch, if a reply has shown it. */
  get bornAt(): number | undefined {
    return this.current;
  }

  /** Whether a reply is of an earlier process: it was overtaken by a newer one. */
  isOutdated(bornAt: number | undefined, sentAt: number): boolean {
    const isOther = bornAt !== undefined && bornAt !== this.current;
    return isOther && sentAt < this.sentAt;
  }

  /**
   * Records the start time in the reply to an order sent at `sentAt`; returns
   * whether it is another process.
   */
  update(bornAt: number, sentAt: number, now: number): boolean {
    this.sentAt = Math.max(this.sentAt, sentAt);
    const isOther = this.current !== undefined && bornAt !== this.current;
    if (isOther) {
      this.previous = this.current!;
      this.changedAt = now;
    }
    this.current = bornAt;
    return isOther;
  }

  /** Start time of the process before, if it was the one to get this run. */
  previousOf(run: Run): number | undefined {
    return run.sentAt < this.changedAt ? this.previous : undefined;
  }
}
