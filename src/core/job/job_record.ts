import type {AttemptOutcome} from './attempt_outcome.js';
import type {JobSpec} from './job_spec.js';
import type {JobStatus} from './job_status.js';

interface OpenIntent {
  readonly attempt: string;
  readonly worker: string;
  readonly incarnation: string;
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
  readonly spec: JobSpec;
  readonly tasks: TaskRecord[];
  status: JobStatus;
  reason: string;
  succeeded: number;
  finishedAt: number | undefined;
  acknowledged: boolean;
}
