import type {EmulatedJob} from '../../platform/emulator/emulated_job.js';
import type {EmulatedRun} from '../../platform/emulator/emulated_run.js';

interface Attempt {
  /** Address of the entry process. */
  readonly entry: string;
  readonly sentAt: number;
  /** Status, or why there was none; undefined while the request is open. */
  outcome: number | 'timeout' | 'refused' | 'broken' | undefined;
  endedAt: number | undefined;
}

/** What the caller and the workers saw of a job. */
export interface SoakJob {
  readonly job: EmulatedJob;
  readonly attempts: Attempt[];
  /** All runs of its tasks, by start. */
  readonly runs: EmulatedRun[];
}
