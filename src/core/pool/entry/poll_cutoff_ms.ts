import {FailoverTiming} from '../node/failover_timing.js';
import type {OpenJob} from './open_job.js';

/**
 * Silence of a job's dispatcher after which it is no longer polled, in ms. A
 * lender is heard only after it has the job, for which it must be polled.
 */
export function pollCutoffMs({isLent}: OpenJob): number {
  const {POLL_CUTOFF_MS, DISPATCHER_TIMEOUT_MS} = FailoverTiming;
  return isLent ? DISPATCHER_TIMEOUT_MS : POLL_CUTOFF_MS;
}
