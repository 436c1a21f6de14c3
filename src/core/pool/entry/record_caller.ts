import type {PoolObserver} from '../pool_observer.js';
import type {InputProgress} from './input_progress.js';
import type {OpenJob} from './open_job.js';

interface RequestEvent {
  readonly now: number;
  readonly input: InputProgress;
  readonly reason?: string;
}

/** Logs how the request of an open job ended, or that it was sent again. */
export function recordCaller(
  observer: PoolObserver,
  event: string,
  job: OpenJob,
  {now, input, reason}: RequestEvent,
): void {
  observer.recordJobEvent(event, job.id, {
    reason,
    after_ms: Math.round(now - job.arrivedAt),
    loop_behind_ms: Math.round(now - input.handledUpTo),
    lead: job.assignedTo?.node,
    token: job.assignedTo?.token,
  });
}
