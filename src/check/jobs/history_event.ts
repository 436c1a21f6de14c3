import type {JobAnswer} from '../../core/job/job_answer.js';
import type {Refusal} from '../../core/job/refusal.js';

/** Something that callers, workers or operators saw, in the order it happened. */
export type HistoryEvent = {readonly at: number} & (
  | {
      readonly kind: 'submit';
      readonly key: string;
      readonly body: string;
      readonly tasks: number;
      /** Whether class and request allow a second attempt. */
      readonly repeatable: boolean;
      /** False for a submission to a deposed leader, which cannot commit it. */
      readonly byLeader: boolean;
      /** Undefined when the submission was taken or joined. */
      readonly refusal: Refusal | undefined;
    }
  | {readonly kind: 'cancel'; readonly key: string; readonly taken: boolean}
  /** The group has stored the job; its answer must come. */
  | {
      readonly kind: 'committed';
      readonly key: string;
      /** Empty when a cancel came before any submission. */
      readonly body: string;
    }
  | {readonly kind: 'acknowledge'; readonly key: string}
  /** What a caller was told about a job. */
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
  /** The dispatcher has taken the announcement that a worker leaves. */
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
  | {readonly kind: 'memory_lost'}
  /** The run is over; jobs still open have had the whole bound. */
  | {readonly kind: 'quiet'}
);
