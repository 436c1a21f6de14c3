import type {PoolObserver} from '../pool_observer.js';
import type {OpenJob} from './open_job.js';

/** Logs how the request of an open job ended, or that it was sent again. */
export function recordCaller(
  observer: PoolObserver,
  event: string,
  job: OpenJob,
  now: number,
  reason?: string,
): void {
  observer.recordJobEvent(event, job.id, {
    reason,
    after_ms: Math.round(now - job.arrivedAt),
    lead: job.assignedTo?.node,
    token: job.assignedTo?.token,
  });
}
