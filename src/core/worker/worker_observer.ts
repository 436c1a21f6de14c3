import type {WorkerState} from './worker_state.js';

/** Hears of changes that decide which workers may be given a task. */
export interface WorkerObserver {
  /** A worker joined, left, was fenced, or changed its announcement. */
  eligibilityChanged(): void;

  /** The worker's free slots may have changed. */
  usageChanged(worker: WorkerState): void;
}
