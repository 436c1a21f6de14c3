import {RunRefusal} from './run_refusal.js';

/** Time for which a worker gets no starts after it has refused one, in ms. */
export function startBackoffMs(reason: RunRefusal): number {
  switch (reason) {
    case RunRefusal.noRoom:
      return 100;
    case RunRefusal.unhealthy:
    case RunRefusal.invalid:
      return 500;
    default:
      return 0;
  }
}
