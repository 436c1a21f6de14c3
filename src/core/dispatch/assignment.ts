import type {WorkerState} from '../worker/worker_state.js';
import type {QueuedTask} from './queued_task.js';

/** A task and the worker it is to run on. */
export interface Assignment {
  readonly task: QueuedTask;
  readonly worker: WorkerState;
}
