import type {AttemptOutcome} from './attempt_outcome.js';
import type {JobSpec} from './job_spec.js';
import type {RunOutcome} from './run_outcome.js';
import type {JobStatus} from './job_status.js';

interface OpenIntent {
  readonly attempt: string;
  readonly worker: string;
  readonly incarnation: string;
}

/** Result of a failed or cancelled job, in addition to its reason. */
interface FinalAnswer {
  readonly outcome: RunOutcome;
  /** Number of tasks that were or may have been started. */
  readonly started: number;
}

interface TaskRecord {
  /** The attempt in progress, if any. */
  open: OpenIntent | undefined;
  /** True once an attempt has or may have started. */
  started: boolean;
  /** How the last attempt ended. */
  last: AttemptOutcome | undefined;
  /** True when the task gets no further attempt. */
  final: boolean;
}

/** Replicated state of one job; only `JobTable` changes it. */
export interface JobRecord {
  /** Its task list is emptied together with `tasks`. */
  spec: JobSpec;
  /** Empty once the job has ended and no attempt is in progress. */
  tasks: TaskRecord[];
  /** Results in the order of the tasks, once the job is complete. */
  results: readonly unknown[];
  /** Number of attempts in progress. */
  openAttempts: number;
  status: JobStatus;
  reason: string;
  /** Set once with the final status, so that every fetch returns the same. */
  final: FinalAnswer | undefined;
  /** Number of tasks that have succeeded. */
  succeeded: number;
  /** Epoch milliseconds. */
  finishedAt: number | undefined;
  acknowledged: boolean;
}
