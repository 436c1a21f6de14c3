import {RunRefusal} from './run_refusal.js';

/** Time for which a worker that has refused a start gets no others. */
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
