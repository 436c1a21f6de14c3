import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import {openingToken} from '../node/opening_token.js';
import type {OpenJob} from './open_job.js';

interface Target {
  /** Claim of the dispatcher that gets the job. */
  readonly claim: DispatcherClaim;
  /** Claim of the dispatcher that had the job last, if any. */
  readonly earlier: DispatcherClaim | undefined;
  /** Time during which runs of an earlier dispatcher may be active, in ms. */
  readonly settleMs: number;
  /** Highest revision of the configuration that this node knows. */
  readonly revision: number;
  /** Up to when messages of callers were handled, also of the job's one. */
  readonly inputUpTo: number;
}

/** Message that submits an open job to a dispatcher; see PoolSubmission. */
export function toSubmission(
  job: OpenJob,
  {claim, earlier, settleMs, revision, inputUpTo}: Target,
  now: number,
) {
  const isLeader = !claim.isFallback && claim.zone === undefined;
  return {
    host: job.host,
    path: job.path,
    job: job.job,
    request: job.request,
    waitedMs: now - job.arrivedAt,
    patienceMs: Math.max(0, job.deadlineAt - now),
    settleMs,
    ...(settleMs > 0 && Number.isFinite(job.earlierToken)
      ? {earlierToken: job.earlierToken}
      : {}),
    losses: job.losses,
    claimStatedAt: contactAt(claim, inputUpTo),
    dispatcher: openingToken(claim),
    ...(earlier ? {earlierNode: earlier.node} : {}),
    ...(job.isLent ? {isLent: true} : {}),
    // The leader has every committed configuration.
    revision: isLeader ? 0 : revision,
  };
}

/**
 * Latest time, on the clock of the dispatcher, at which the caller is known to have
 * waited. A claim that was heard after the callers' messages were handled proves only
 * the time before: the caller may have gone since.
 */
function contactAt(
  {statedAt, heardAt}: DispatcherClaim,
  inputUpTo: number,
): number | undefined {
  if (statedAt === undefined) return undefined;
  return statedAt - Math.max(0, heardAt - inputUpTo);
}
