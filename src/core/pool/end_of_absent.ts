import type {Run} from './run.js';
import {RunEnd} from './run_end.js';
import {RunRefusal} from './run_refusal.js';

/**
 * What became of a run that a worker lists neither as running nor as ended, in
 * a look that was sent at `sentAt`; undefined while its start may still come.
 */
export function endOfAbsent(
  run: Run,
  workerClockMs: number,
  sentAt: number,
): typeof RunEnd.lost | RunRefusal | undefined {
  const {confirmedAt, stoppedAt} = run;
  if (confirmedAt !== undefined && confirmedAt < sentAt) return RunEnd.lost;
  // The worker refuses the order if it still comes.
  if (stoppedAt !== undefined && stoppedAt < sentAt) return RunRefusal.old;
  const isLate = run.sentAt < sentAt && workerClockMs > run.startLeaseEnd;
  return isLate ? RunRefusal.late : undefined;
}
