import type {TraceJob} from './trace_job.js';

/** What became of one job of a trace. */
export interface JobResult {
  readonly job: TraceJob;
  readonly status:
    'complete' | 'failed' | 'cancelled' | 'refused' | 'unfinished';
  /**
   * Milliseconds from the caller's first try to its answer, delays to and from
   * the caller included; Infinity without an answer.
   */
  readonly responseMs: number;
  /** The same from the try that was admitted. */
  readonly admittedResponseMs: number;
  /** Run time of the longest task and the delays of the messages. */
  readonly idealMs: number;
  /** Times the job was refused and sent again. */
  readonly refusals: number;
}
