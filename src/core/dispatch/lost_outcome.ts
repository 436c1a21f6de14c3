import type {AttemptOutcome} from '../job/attempt_outcome.js';
import {ZoneWorker} from '../overflow/zone_worker.js';

/**
 * The outcome of an attempt whose worker is lost. The end of a lease ends what
 * runs on a worker, but not what another zone runs.
 */
export function lostOutcome(reason: string, worker: string): AttemptOutcome {
  return ZoneWorker.isZone(worker)
    ? {kind: 'unknown', reason, mayStillRun: true}
    : {kind: 'unknown', reason};
}
