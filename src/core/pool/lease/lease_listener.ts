import type {LeasedWorker} from './leased_worker.js';
import type {Run} from './run.js';
import type {RunEnd} from './run_end.js';
import type {RunLoss} from './run_loss.js';
import type {RunRefusal} from './run_refusal.js';

/** Receives events of the runs on a worker. */
export interface LeaseListener {
  /** Called before the ends of runs that were lost together with their worker. */
  onWorkerLost(worker: LeasedWorker, runs: readonly Run[], loss: RunLoss): void;
  /**
   * Called when a run has ended and its capacity is free; `loss` is given if its
   * end was not reported.
   */
  onRunEnded(
    worker: LeasedWorker,
    run: Run,
    how: RunEnd,
    loss: RunLoss | undefined,
  ): void;
  /** Called when a run has not started and never will. */
  onRunRefused(worker: LeasedWorker, run: Run, reason: RunRefusal): void;
  /** Called when a run that another dispatcher started has ended. */
  onInheritedRunEnded(task: string, run: number, how: RunEnd): void;
  /** Called when no reply to a start order was received. */
  onStartUnanswered(worker: LeasedWorker, run: Run): void;
  /** Called when a worker first reports an active run that is not known here. */
  onInheritedRun(worker: LeasedWorker, task: string, run: number): void;
  /** Called when the worker may have become usable or unusable. */
  onChange(worker: LeasedWorker): void;
}
