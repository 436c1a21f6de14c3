import type {LeasedWorker} from '../lease/leased_worker.js';

/** Worker that can be given starts, with what placement needs to know of it. */
export interface IndexedWorker {
  readonly worker: LeasedWorker;
  freeCpu: number;
  slowness: number;
  /** Cost of its health; see WorkerHealth. */
  healthCost: number;
}
