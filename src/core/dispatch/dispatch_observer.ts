import type {JobRecord} from '../job/job_record.js';
import type {JobSpec} from '../job/job_spec.js';
import type {Refusal} from '../job/refusal.js';

/**
 * Measuring points of the dispatcher. Times count from the submission at the
 * job's first daemon, so that they contain the way to the home zone.
 */
export abstract class DispatchObserver {
  /** A new submission was refused. */
  abstract refused(job: JobSpec, refusal: Refusal): void;

  /** The start of an attempt was committed. */
  abstract started(job: JobSpec, queuedMs: number): void;

  /** The final state of a job was committed. */
  abstract finished(job: JobRecord, now: number): void;
}
