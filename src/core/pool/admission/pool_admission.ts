import type {ActiveJob} from '../job/active_job.js';
import {canRun} from '../placement/can_run.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolTask} from '../job/pool_task.js';

interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

interface PoolState {
  readonly openJobs: number;
  readonly workers: readonly LeasedWorker[];
  /** Whether more workers may report to a new dispatcher. */
  readonly mayMoreReport: boolean;
}

/** Limits the memory used by open jobs. */
const MAX_JOBS = 2_000;

/** Admission control for new jobs. */
export class PoolAdmission {
  /**
   * Returns a refusal, or undefined if the job is admitted. A job is admitted
   * without workers as long as more of them may report.
   */
  check(job: ActiveJob, state: PoolState): Refusal | undefined {
    const {openJobs, workers, mayMoreReport} = state;
    const isPlaceable = (task: PoolTask) =>
      workers.some(({report}) => canRun(task, report, report.capacity));
    if (!mayMoreReport && !job.tasks.every(isPlaceable)) {
      return {reason: 'no_worker_fits', retryAfterMs: 2_000};
    }
    if (workers.length === 0 && !mayMoreReport) {
      return {reason: 'no_workers', retryAfterMs: 1_000};
    }
    if (openJobs >= MAX_JOBS) return {reason: 'too_many', retryAfterMs: 1_000};
    return undefined;
  }
}
