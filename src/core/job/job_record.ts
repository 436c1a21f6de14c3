import type {AttemptOutcome} from './attempt_outcome.js';
import type {JobSpec} from './job_spec.js';
import type {RunOutcome} from './run_outcome.js';
import type {JobStatus} from './job_status.js';

interface OpenIntent {
  readonly attempt: string;
  readonly worker: string;
  readonly incarnation: string;
}

/** What a failed or cancelled job answers besides its reason. */
interface FinalAnswer {
  readonly outcome: RunOutcome;
  /** Number of tasks that were started or may have been. */
  readonly started: number;
}

interface TaskRecord {
  /** The attempt in progress, if any. */
  open: OpenIntent | undefined;
  /** True once an attempt started or may have. */
  started: boolean;
  /** How the last attempt ended. */
  last: AttemptOutcome | undefined;
  /** True when the task gets no further attempt. */
  final: boolean;
}

/** Replicated state of one job; only `JobTable` changes it. */
export interface JobRecord {
  /** Without its tasks once the job has ended. */
  spec: JobSpec;
  /** Empty once the job has ended and none of its attempts is open. */
  tasks: TaskRecord[];
  /** Results in the order of the tasks, once the job is complete. */
  results: readonly unknown[];
  /** Attempts in progress. */
  openAttempts: number;
  status: JobStatus;
  reason: string;
  /** Set once with the final status, so that every fetch says the same. */
  final: FinalAnswer | undefined;
  succeeded: number;
  finishedAt: number | undefined;
  acknowledged: boolean;
}
