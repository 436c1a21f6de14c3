import type {PoolAnswer} from './pool_answer.js';

/** Learns of decisions, for logs and metrics. */
export interface PoolObserver {
  /** A job was taken, refused or answered. */
  decided(
    event: string,
    job: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
  /** A belief about a worker or the lead changed. */
  believed(event: string, fields: Readonly<Record<string, unknown>>): void;
  /** Time from arrival to answer. */
  answered(queue: string, kind: PoolAnswer['kind'], ms: number): void;
  counted(counter: string): void;
}
