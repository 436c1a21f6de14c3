import type {WorkerState} from '../worker/worker_state.js';

/** View of the workers for dispatch policies. */
export interface FleetView {
  /** Workers that accept starts and have at least one free slot. */
  readonly startable: readonly WorkerState[];
  /** Total number of free slots of the startable workers. */
  readonly freeSlots: number;
  /** Number of slots of all workers that are not leaving or withheld. */
  readonly totalSlots: number;
  /** Number of workers that are not leaving or withheld. */
  readonly totalWorkers: number;
  /** Number of slots in use on workers that accept starts, by rack. */
  readonly rackLoads: ReadonlyMap<string, number>;
}
