import type {JobAnswer} from '../../core/job/job_answer.js';
import type {Refusal} from '../../core/job/refusal.js';

/** Event observed by a caller, a worker or an operator. */
export type HistoryEvent = {readonly at: number} & (
  | {
      readonly kind: 'submit';
      readonly key: string;
      readonly body: string;
      readonly tasks: number;
      /** Whether both the class and the request allow a second attempt. */
      readonly repeatable: boolean;
      /** False for a submission to a deposed leader, which cannot commit it. */
      readonly byLeader: boolean;
      /** Undefined if the submission was accepted or joined an existing job. */
      readonly refusal: Refusal | undefined;
    }
  | {readonly kind: 'cancel'; readonly key: string; readonly taken: boolean}
  /** The group has committed the job, so it must get an answer. */
  | {
      readonly kind: 'committed';
      readonly key: string;
      /** Empty if the key was cancelled before any submission. */
      readonly body: string;
    }
  | {readonly kind: 'acknowledge'; readonly key: string}
  /** A caller got an answer about a job. */
  | {readonly kind: 'answer'; readonly key: string; readonly answer: JobAnswer}
  | {
      readonly kind: 'start';
      readonly key: string;
      readonly body: string;
      readonly task: number;
      readonly attempt: string;
      readonly worker: string;
      readonly incarnation: string;
      readonly memoryMb: number;
      /** Time at which the dispatcher sent the start. */
      readonly sentAt: number;
    }
  | {
      readonly kind: 'end';
      readonly attempt: string;
      readonly worker: string;
      readonly incarnation: string;
      readonly succeeded: boolean;
    }
  /** The leader has accepted the announcement that a worker leaves. */
  | {
      readonly kind: 'leaving';
      readonly worker: string;
      readonly incarnation: string;
    }
  | {
      readonly kind: 'size';
      readonly worker: string;
      readonly slots: number;
      readonly connections: number;
      readonly memoryMb: number;
    }
  /** State of the group has been lost. */
  | {readonly kind: 'memory_lost'}
  /** The run has ended, and the time limit for answers has passed. */
  | {readonly kind: 'quiet'}
);
