import type {Run} from './run.js';
import {RunEnd} from './run_end.js';
import {RunRefusal} from './run_refusal.js';

/**
 * Returns the outcome of a run that a worker reports neither as active nor as
 * ended in its reply to a poll sent at `sentAt`; undefined while the start order
 * may still arrive.
 */
export function resolveMissingRun(
  run: Run,
  workerClockMs: number,
  sentAt: number,
): typeof RunEnd.lost | RunRefusal | undefined {
  const {confirmedAt, stoppedAt} = run;
  if (confirmedAt !== undefined && confirmedAt < sentAt) return RunEnd.lost;
  // After the stop, the worker refuses a start order that arrives late.
  if (stoppedAt !== undefined && stoppedAt < sentAt) return RunRefusal.old;
  const isLate = run.sentAt < sentAt && workerClockMs > run.startLeaseEnd;
  return isLate ? RunRefusal.late : undefined;
}
