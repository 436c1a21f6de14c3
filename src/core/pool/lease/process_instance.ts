import type {Run} from './run.js';

/** Process instance of a worker, as its replies show it. */
export class ProcessInstance {
  private current: number | undefined;
  private previous = 0;
  private changedAt = Number.NEGATIVE_INFINITY;
  /** Whether the worker has listed all its runs to this dispatcher. */
  isListed = false;

  /** Start time in ms since the Unix epoch, if a reply has shown it. */
  get bornAt(): number | undefined {
    return this.current;
  }

  /** Records the start time in a reply; returns whether it is another process. */
  update(bornAt: number, now: number): boolean {
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
