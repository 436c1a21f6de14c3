import type {AttemptOutcome} from '../job/attempt_outcome.js';
import {ZoneWorker} from '../overflow/zone_worker.js';

/**
 * Outcome of an attempt whose worker is lost. A worker stops its attempts when
 * its lease expires, whereas an attempt lent to another zone may still run.
 */
export function lostWorkerOutcome(
  reason: string,
  worker: string,
): AttemptOutcome {
  return ZoneWorker.isZone(worker)
    ? {kind: 'unknown', reason, mayStillRun: true}
    : {kind: 'unknown', reason};
}
