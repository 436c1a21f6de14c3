import type {JobAnswer} from '../../core/job/job_answer.js';
import type {Refusal} from '../../core/job/refusal.js';

/** Response of a node in a job's home zone to a request about the job. */
export type JobResponse =
  | {readonly kind: 'answer'; readonly answer: JobAnswer}
  | {readonly kind: 'refusal'; readonly refusal: Refusal}
  /** The node is not the dispatcher; `leader` is the last one it knows of. */
  | {readonly kind: 'redirect'; readonly leader: string | undefined};
