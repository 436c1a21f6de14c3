import type {WorkerState} from './worker_state.js';

/** Is notified of changes that affect which workers can receive a task. */
export interface WorkerObserver {
  /** Called when a worker joins, leaves, is fenced or changes its capacity. */
  eligibilityChanged(): void;

  /** Called when the number of free slots of the worker may have changed. */
  usageChanged(worker: WorkerState): void;
}
