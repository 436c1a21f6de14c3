import type {WorkerLoss} from '../crashes/worker_loss.js';
import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import type {PoolJob} from '../job/pool_job.js';

/** A job at an entry node whose caller waits for the answer. */
export interface OpenJob {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly job: PoolJob;
  /** Number of the request at this node; rises across restarts, too. */
  readonly request: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  respond: (answer: PoolAnswer) => void;
  /** Zone whose dispatcher has the job or is to get it. */
  zone: string;
  /** Whether the dispatcher of its own zone has redirected it. */
  isLent: boolean;
  /** Dispatcher to which the job was last submitted, if any. */
  assignedTo: DispatcherClaim | undefined;
  submittedAt: number;
  /** Time up to which runs of an earlier dispatcher may be active. */
  earliestStartAt: number;
  /** Highest fencing token of an earlier dispatcher of the job. */
  earlierToken: number;
  /** Workers that dispatchers have lost under tasks of the job. */
  losses: readonly WorkerLoss[];
  /** How long the job waits while no dispatcher is known, in ms. */
  readonly maxWaitMs: number;
  /** Whether the job has been submitted more than once. */
  wasResubmitted: boolean;
  /** Whether its home may have moved it for an earlier request, which may have run. */
  wasReferredAgain: boolean;
}
