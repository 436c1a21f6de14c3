import type {JobEntry} from './job_entry.js';
import type {JobQueue} from './job_queue.js';
import type {TenantState} from './tenant_state.js';

/** The job of a class whose task is to start next. */
export interface JobPick {
  readonly tenant: TenantState;
  readonly queue: JobQueue;
  readonly entry: JobEntry;
  /** The lower, the sooner; comparable between classes. */
  readonly urgency: number;
}
