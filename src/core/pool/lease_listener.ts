import type {LeasedWorker} from './leased_worker.js';
import type {Run} from './run.js';
import type {RunEnd} from './run_end.js';
import type {RunRefusal} from './run_refusal.js';

/** Learns what becomes of the runs on a worker. */
export interface LeaseListener {
  /** The run is over; its room is free. */
  ended(worker: LeasedWorker, run: Run, how: RunEnd): void;
  /** The run has not begun and never will. */
  refused(worker: LeasedWorker, run: Run, reason: RunRefusal): void;
  /** A run that ended and that this lead has not started. */
  foreignEnded(task: string, run: number, how: RunEnd): void;
  /** The worker may take starts now, or has changed in another way. */
  changed(worker: LeasedWorker): void;
}
