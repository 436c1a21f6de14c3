import type {WorkerState} from '../worker/worker_state.js';
import type {QueuedTask} from './queued_task.js';

/** Task and the worker selected for it. */
export interface Assignment {
  readonly task: QueuedTask;
  readonly worker: WorkerState;
}
