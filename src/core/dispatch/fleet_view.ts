import type {WorkerState} from '../worker/worker_state.js';

/** What a policy sees of the workers at one moment. */
export interface FleetView {
  /** Workers that may be given a task now, with at least one free slot. */
  readonly startable: readonly WorkerState[];
  /** Free slots of the startable workers. */
  readonly freeSlots: number;
  /** Slots of all live workers that are not leaving. */
  readonly totalSlots: number;
  /** Live workers that are not leaving. */
  readonly totalWorkers: number;
  /** Slots in use by rack, of the startable workers. */
  readonly rackLoads: ReadonlyMap<string, number>;
}
