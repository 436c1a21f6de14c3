import type {EmulatedWorker} from './emulated_worker.js';

/** A run on an emulated worker. Times are those of the process, in ms. */
export interface EmulatedRun {
  readonly task: string;
  /** Number of the run among those of the task. */
  readonly run: number;
  /** Fencing token of the dispatcher that started it. */
  readonly token: number;
  readonly worker: EmulatedWorker;
  readonly startedAt: number;
  /** Whether the order was executed long after its arrival. */
  readonly isLate: boolean;
  /** How it ended, or `crashed`; undefined while it runs. */
  how: string | undefined;
  endedAt: number | undefined;
}
