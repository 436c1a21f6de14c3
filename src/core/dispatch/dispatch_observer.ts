import type {JobRecord} from '../job/job_record.js';
import type {JobSpec} from '../job/job_spec.js';
import type {Refusal} from '../job/refusal.js';

/**
 * Receives measurements of the dispatcher. Times start with the submission at
 * the first daemon, so they include forwarding to the home zone of the job.
 */
export abstract class DispatchObserver {
  /** Called when a new submission is refused. */
  abstract refused(job: JobSpec, refusal: Refusal): void;

  /** Called when the intent to start an attempt is committed. */
  abstract started(job: JobSpec, queuedMs: number): void;

  /** Called when the final state of a job is committed. */
  abstract finished(job: JobRecord, now: number): void;
}
