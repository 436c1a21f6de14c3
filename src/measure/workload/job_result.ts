import type {TraceJob} from './trace_job.js';

/** Result of one job of a trace. */
export interface JobResult {
  readonly job: TraceJob;
  readonly status:
    'complete' | 'failed' | 'cancelled' | 'refused' | 'unfinished';
  /**
   * Time from the first submission to the answer, in ms, including the delays
   * between caller and daemon; Infinity without an answer.
   */
  readonly responseMs: number;
  /** Like `responseMs`, but from the submission that was admitted. */
  readonly admittedResponseMs: number;
  /** Run time of the longest task plus the delays of the messages, in ms. */
  readonly idealMs: number;
  /** Number of refused submissions. */
  readonly refusals: number;
}
