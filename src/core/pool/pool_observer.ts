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
  /** Records the time from arrival to answer, in ms. */
  recordResponseTime(queue: string, kind: PoolAnswer['kind'], ms: number): void;
  incrementCounter(counter: string): void;
}
