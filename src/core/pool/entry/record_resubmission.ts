import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {PoolObserver} from '../pool_observer.js';
import {isSameDispatcher} from './is_same_dispatcher.js';
import type {OpenJob} from './open_job.js';

interface Resubmission {
  readonly from: DispatcherClaim;
  readonly to: DispatcherClaim;
  /** Time for which the job may not start, in ms. */
  readonly settleMs: number;
  /** When the job was submitted to `from`. */
  readonly submittedAt: number;
}

/** Logs that a job is submitted once more, and what was known of its dispatcher. */
export function recordResubmission(
  observer: PoolObserver,
  job: OpenJob,
  {from, to, settleMs, submittedAt}: Resubmission,
  now: number,
): void {
  const submittedMsAgo = Math.round(now - submittedAt);
  if (isSameDispatcher(from, to)) {
    // The dispatcher does not know the job.
    observer.recordJobEvent('job_resubmitted', job.id, {
      to: to.node,
      token: to.token,
      submitted_ms_ago: submittedMsAgo,
    });
    return;
  }
  observer.recordJobEvent('job_reassigned', job.id, {
    from: from.node,
    from_kind: kindOf(from),
    from_token: from.token,
    from_silent_ms: Math.round(now - from.heardAt),
    to: to.node,
    to_kind: kindOf(to),
    token: to.token,
    submitted_ms_ago: submittedMsAgo,
    settle_ms: Math.round(settleMs),
    earlier_token: Number.isFinite(job.earlierToken)
      ? job.earlierToken
      : undefined,
  });
}

function kindOf({isFallback, zone}: DispatcherClaim): string {
  if (isFallback) return 'fallback';
  return zone === undefined ? 'leader' : 'holder';
}
