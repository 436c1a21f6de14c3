import type {WorkerListChanges} from './worker_list_changes.js';
import type {WorkerReport} from './worker_report.js';

/** A dispatcher whose workers are listed. */
type Source = Pick<
  WorkerListChanges,
  'term' | 'zone' | 'firstToken' | 'token' | 'isComplete'
>;

/** Copy of the list of workers of a dispatcher. */
export interface WorkerListCopy extends Source {
  readonly version: number;
  readonly workers: ReadonlyMap<string, WorkerReport>;
  /** Until when the dispatcher uses no worker that the copy lacks. */
  readonly validUntil: number;
  /** Whether the dispatcher has closed, so that it starts nothing more. */
  readonly isFinal: boolean;
}
