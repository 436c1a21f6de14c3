import type {WorkerTarget} from '../upstream/worker_target.js';
import type {WorkerState} from '../worker/worker_state.js';

/** Addressee of messages to the worker's current process. */
export function toTarget({announcement}: WorkerState): WorkerTarget {
  const {worker, incarnation, address, connections} = announcement;
  return {worker, incarnation, address, connections};
}
