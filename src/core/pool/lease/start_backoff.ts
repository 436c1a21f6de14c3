import {RunRefusal} from './run_refusal.js';

/** Delays the next starts on a worker that has refused one. */
export class StartBackoff {
  private until = 0;

  isOver(now: number): boolean {
    return now >= this.until;
  }

  onRefusal(reason: RunRefusal, now: number): void {
    this.until = Math.max(this.until, now + durationMs(reason));
  }
}

function durationMs(reason: RunRefusal): number {
  switch (reason) {
    case RunRefusal.late:
      // The start rested on an old reading of the worker's clock, which a poll renews.
      return 20;
    case RunRefusal.noRoom:
      return 100;
    case RunRefusal.unhealthy:
    case RunRefusal.invalid:
      return 500;
    default:
      return 0;
  }
}
