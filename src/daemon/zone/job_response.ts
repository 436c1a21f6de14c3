import type {JobAnswer} from '../../core/job/job_answer.js';
import type {Refusal} from '../../core/job/refusal.js';

/** What a node of a job's home zone says to a request about it. */
export type JobResponse =
  | {readonly kind: 'answer'; readonly answer: JobAnswer}
  | {readonly kind: 'refusal'; readonly refusal: Refusal}
  /** The node does not lead its zone; `leader` does as far as it knows. */
  | {readonly kind: 'redirect'; readonly leader: string | undefined};
