import type {JobContact} from '../job/job_contact.js';
import {FailoverTiming} from '../node/failover_timing.js';

/** Whether the entry node of a job may no longer hold its request. */
export function isLost({contactAt}: JobContact, now: number): boolean {
  return now - contactAt > FailoverTiming.OWNER_TIMEOUT_MS;
}
