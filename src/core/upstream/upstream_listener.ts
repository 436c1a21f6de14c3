import type {AttemptReport} from './attempt_report.js';
import type {WorkerTarget} from './worker_target.js';

/** Receives the replies of workers. */
export interface UpstreamListener {
  /** Reports of attempts, from the reply to a start or a settle. */
  reported(target: WorkerTarget, reports: readonly AttemptReport[]): void;

  /** The worker has dropped its records of these ended attempts. */
  forgotten(target: WorkerTarget, attempts: readonly string[]): void;

  /** The worker has accepted the epoch; `known` holds its attempts. */
  fenced(
    target: WorkerTarget,
    epoch: number,
    known: readonly AttemptReport[],
  ): void;

  /** Another incarnation of the worker replied at the address. */
  replaced(target: WorkerTarget, incarnation: string): void;

  /** The worker has accepted an epoch above this dispatcher's. */
  superseded(target: WorkerTarget, epoch: number): void;
}
