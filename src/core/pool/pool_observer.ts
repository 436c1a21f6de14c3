import type {JobPhase} from './job/job_phase.js';
import type {PoolAnswer} from './job/pool_answer.js';

/** Receives events for logs and metrics. */
export interface PoolObserver {
  /** Records that a job was accepted, refused or answered. */
  recordJobEvent(
    event: string,
    job: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
  /** Records a change in what is known of a worker or the dispatcher. */
  recordStateChange(
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
  /**
   * Records the answer of a job, the time from arrival to answer, in ms, and why
   * it was refused or given up.
   */
  recordResponseTime(
    queue: string,
    kind: PoolAnswer['kind'],
    ms: number,
    reason?: string,
  ): void;
  /** Records how long one phase of a completed job took, in ms. */
  recordPhase(queue: string, phase: JobPhase, ms: number): void;
  incrementCounter(counter: string): void;
}
