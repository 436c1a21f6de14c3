import type {AttemptReport} from './attempt_report.js';
import type {WorkerTarget} from './worker_target.js';

/** Receives what workers answer. */
export interface UpstreamListener {
  /** Reports about attempts, from a start's answer or from a settle. */
  reported(target: WorkerTarget, reports: readonly AttemptReport[]): void;

  /** The worker has dropped these ended attempts. */
  forgotten(target: WorkerTarget, attempts: readonly string[]): void;

  /** The worker has accepted the epoch; `known` lists its attempts. */
  fenced(
    target: WorkerTarget,
    epoch: number,
    known: readonly AttemptReport[],
  ): void;

  /** The address is answered by another incarnation of the worker. */
  replaced(target: WorkerTarget, incarnation: string): void;

  /** The worker has accepted a higher epoch than ours. */
  superseded(target: WorkerTarget, epoch: number): void;
}
