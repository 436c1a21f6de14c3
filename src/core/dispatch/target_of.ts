import type {WorkerTarget} from '../upstream/worker_target.js';
import type {WorkerState} from '../worker/worker_state.js';

/** The worker process as messages name it. */
export function targetOf({announcement}: WorkerState): WorkerTarget {
  const {worker, incarnation, address, connections} = announcement;
  return {worker, incarnation, address, connections};
}
