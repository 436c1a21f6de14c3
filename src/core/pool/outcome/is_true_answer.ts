import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {PoolAnswer} from '../job/pool_answer.js';

/**
 * Age of a job up to which a proof is accepted. Dispatchers know the starts of
 * their predecessors at least 5 s back; see StartHistory.
 */
const MAX_PROOF_AGE_MS = 4_000;

interface SubmittedJob {
  readonly wasResubmitted: boolean;
  readonly assignedTo: DispatcherClaim | undefined;
  readonly earlierToken: number;
  readonly firstSubmittedAt: number | undefined;
}

/**
 * Whether an answer that says that a job has not run is true, as far as the
 * entry node of the job knows. If an earlier dispatcher had the job, it is true
 * only with a proof of a dispatcher that workers obey before the earlier one.
 */
export function isTrueAnswer(
  answer: PoolAnswer,
  job: SubmittedJob,
  now: number,
): boolean {
  if (answer.kind !== 'refused' && answer.kind !== 'no_queue') return true;
  const {assignedTo, earlierToken, firstSubmittedAt} = job;
  if (!job.wasResubmitted) return true;
  if (answer.kind === 'no_queue' || !answer.isProved) return false;
  // A leader that has not heard of a fallback yet has a lower token.
  if (!assignedTo || assignedTo.token <= earlierToken) return false;
  return now - (firstSubmittedAt ?? 0) <= MAX_PROOF_AGE_MS;
}
