import type {LeasedWorker} from '../lease/leased_worker.js';
import type {ActiveJob} from './active_job.js';
import type {WorkerLoss} from '../crashes/worker_loss.js';
import type {Run} from '../lease/run.js';
import type {PastRun} from '../trace/past_run.js';

/** One task of an active job. */
export interface PoolTask {
  /** Identifies the task on the workers. */
  readonly name: string;
  readonly job: ActiveJob;
  readonly step: number;
  state: 'blocked' | 'waiting' | 'running' | 'done';
  run: Run | undefined;
  worker: LeasedWorker | undefined;
  /** Latest run under this dispatcher that counts as over. */
  lastRun: PastRun | undefined;
  /** Run number of the next start; increases with every start of the task. */
  nextRunNumber: number;
  failures: number;
  /** Crashes under the task that were put down to another one beside it. */
  excusedCrashes: number;
  /** Workers that were lost while they ran the task. */
  losses: readonly WorkerLoss[];
  /** Number of runs that were stopped as stragglers. */
  stragglerStops: number;
}
