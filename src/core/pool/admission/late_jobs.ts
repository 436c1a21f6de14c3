import type {PoolJobs} from '../job/pool_jobs.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {DispatcherLending} from '../lending/dispatcher_lending.js';
import type {StartableWorkers} from '../placement/startable_workers.js';
import type {BacklogForecast} from './backlog_forecast.js';
import type {JobPrioritizer} from './job_prioritizer.js';

const FORECAST_INTERVAL_MS = 60;

interface LateJobsOptions {
  readonly jobs: PoolJobs;
  readonly priority: JobPrioritizer;
  readonly forecast: BacklogForecast;
  readonly startable: StartableWorkers;
  readonly lending: DispatcherLending;
}

/** Moves or refuses jobs that would be late because of the work ahead of them. */
export class LateJobs {
  private nextForecast = 0;

  constructor(private readonly opts: LateJobsOptions) {}

  refuseIfDue(workers: readonly LeasedWorker[], now: number): void {
    if (now < this.nextForecast) return;
    this.nextForecast = now + FORECAST_INTERVAL_MS;
    const {jobs, priority, forecast, startable, lending} = this.opts;
    const waiting = priority.sort(jobs.all, now);
    if (waiting.length === 0) return;
    const usable = startable.select(workers, now);
    const found = forecast.findInfeasible(waiting, usable, now);
    for (const {job, clearInMs} of found) {
      if (lending.moveRefused(job, 'too_late', workers, now)) continue;
      jobs.refuseLate(job, clearInMs);
    }
  }
}
