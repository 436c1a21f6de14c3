import type {RunOutcome} from './run_outcome.js';

/** Final result of a job, or its progress while it runs. */
export type JobAnswer =
  | {
      readonly status: 'running';
      readonly key: string;
      /** Number of tasks that have succeeded. */
      readonly done: number;
      readonly total: number;
    }
  | {
      readonly status: 'complete';
      readonly key: string;
      /** Results in the order of the tasks. */
      readonly results: readonly unknown[];
    }
  | {
      readonly status: 'failed' | 'cancelled';
      readonly key: string;
      readonly reason: string;
      readonly outcome: RunOutcome;
      /** Number of tasks that were or may have been started. */
      readonly started: number;
    };
