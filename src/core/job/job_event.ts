import type {AttemptOutcome} from './attempt_outcome.js';
import type {JobSpec} from './job_spec.js';

/** Change of job state, replicated in order to every member of a group. */
export type JobEvent =
  | {readonly kind: 'accepted'; readonly job: JobSpec}
  /** Recorded before a start is sent, so that a new leader knows of it. */
  | {
      readonly kind: 'intent';
      readonly key: string;
      readonly task: number;
      readonly attempt: string;
      readonly worker: string;
      readonly incarnation: string;
    }
  | {
      readonly kind: 'settled';
      readonly key: string;
      readonly task: number;
      readonly attempt: string;
      readonly worker: string;
      readonly outcome: AttemptOutcome;
      /** True when the task gets no further attempt. */
      readonly final: boolean;
      /** Epoch milliseconds, as in the events below. */
      readonly at: number;
    }
  | {readonly kind: 'cancelled'; readonly key: string; readonly at: number}
  | {
      readonly kind: 'failed';
      readonly key: string;
      readonly reason: string;
      readonly at: number;
    }
  /** No state change; its commit proves that the proposer was the leader. */
  | {readonly kind: 'barrier'; readonly id: number}
  | {readonly kind: 'acknowledged'; readonly key: string}
  | {readonly kind: 'expired'; readonly keys: readonly string[]};
