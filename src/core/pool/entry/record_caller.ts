import type {PoolObserver} from '../pool_observer.js';
import type {OpenJob} from './open_job.js';

/** Logs what the caller of a job did while it was open. */
export function recordCaller(
  observer: PoolObserver,
  event: string,
  job: OpenJob,
  now: number,
): void {
  observer.recordJobEvent(event, job.id, {
    after_ms: Math.round(now - job.arrivedAt),
    lead: job.assignedTo?.node,
    token: job.assignedTo?.token,
  });
}
