import {RunRefusal} from './run_refusal.js';

/** Time for which a worker gets no starts after it has refused one, in ms. */
export function startBackoffMs(reason: RunRefusal): number {
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
