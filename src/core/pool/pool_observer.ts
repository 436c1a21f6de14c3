import type {PoolAnswer} from './pool_answer.js';

/** Learns of decisions, for logs and metrics. */
export interface PoolObserver {
  /** A job was taken, refused or answered. */
  recordJobEvent(
    event: string,
    job: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
  /** A belief about a worker or the lead changed. */
  recordStateChange(
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
  /** Time from arrival to answer. */
  recordResponseTime(queue: string, kind: PoolAnswer['kind'], ms: number): void;
  incrementCounter(counter: string): void;
}
