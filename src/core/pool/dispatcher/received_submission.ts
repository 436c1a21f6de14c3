import type {JobContact} from '../job/job_contact.js';
import type {PoolSubmission} from '../job/pool_submission.js';

/** A submission of an entry node, with the contact that it proves. */
export interface ReceivedSubmission extends JobContact {
  readonly owner: string;
  readonly submission: PoolSubmission;
}
