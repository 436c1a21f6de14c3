import type {JobEntry} from './job_entry.js';
import type {JobQueue} from './job_queue.js';
import type {TenantState} from './tenant_state.js';

/** Job of a class whose task is to start next. */
export interface NextJob {
  readonly tenant: TenantState;
  readonly queue: JobQueue;
  readonly entry: JobEntry;
  /** The lowest value is served first; comparable between classes. */
  readonly urgency: number;
}
