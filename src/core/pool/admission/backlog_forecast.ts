import type {LeasedWorker} from '../lease/leased_worker.js';
import type {ActiveJob} from '../job/active_job.js';
import {PlacementForecast} from './placement_forecast.js';
import type {RunTimes} from '../placement/run_times.js';

interface InfeasibleJob {
  readonly job: ActiveJob;
  /** Expected time until the work ahead of the job is done. */
  readonly clearInMs: number;
}

/**
 * Predicts completion times under overload. A job that would be answered too
 * late is refused early, while its caller can still use another service.
 */
export class BacklogForecast {
  constructor(private readonly times: RunTimes) {}

  /**
   * Returns the jobs that have not started and cannot be answered while the
   * answer is useful. `waiting` holds the jobs with waiting tasks, highest
   * priority first.
   */
  findInfeasible(
    waiting: readonly ActiveJob[],
    workers: readonly LeasedWorker[],
    now: number,
  ): InfeasibleJob[] {
    return groupByService(waiting, workers).flatMap(({jobs, serving}) => {
      if (serving.length === 0) return [];
      const forecast = this.createForecast(serving, now);
      const usefulUntil = (job: ActiveJob) => this.times.usefulUntil(job);
      const tasks = jobs.flatMap(job => this.waitingTasks(job, usefulUntil));
      const missed = forecast.findMissed(tasks);
      const {clearInMs} = forecast;
      return [...missed].map(job => ({job, clearInMs}));
    });
  }

  /**
   * Returns the jobs that have not started and cannot end by `endOf`, also those
   * for which there is no worker.
   */
  findLate(
    waiting: readonly ActiveJob[],
    workers: readonly LeasedWorker[],
    endOf: (job: ActiveJob) => number,
    now: number,
  ): ActiveJob[] {
    return groupByService(waiting, workers).flatMap(({jobs, serving}) => {
      const forecast = this.createForecast(serving, now);
      const tasks = jobs.flatMap(job => this.waitingTasks(job, endOf));
      const missed = forecast.findMissed(tasks);
      const {unplaceable} = forecast;
      return jobs.filter(
        job => job.isPending && (missed.has(job) || unplaceable.has(job)),
      );
    });
  }

  private createForecast(
    workers: readonly LeasedWorker[],
    now: number,
  ): PlacementForecast<ActiveJob> {
    const forecast = new PlacementForecast<ActiveJob>(now);
    const bySpeed = workers
      .map(worker => ({
        worker,
        slowness: this.times.slownessOf(worker.report.id, now),
      }))
      .sort((a, b) => a.slowness - b.slowness);
    for (const {worker, slowness} of bySpeed) {
      const number = forecast.addWorker(worker.freeCapacity.cpu, slowness);
      for (const run of worker.runs.values()) {
        const endsAt = this.times.expectedEnd(run, worker.report.id, now);
        forecast.addRun(number, run.demand.cpu, endsAt);
      }
    }
    return forecast;
  }

  /** A job that has started is finished, however late. */
  private waitingTasks(job: ActiveJob, endOf: (job: ActiveJob) => number) {
    const endsBy = job.isPending ? endOf(job) : Number.POSITIVE_INFINITY;
    return job.tasks
      .filter(task => task.state === 'waiting')
      .map(({step}) => {
        const {demand, estimatedMs} = job.spec.steps[step]!;
        const runMs = this.times.expectedMs(job.queue.name, estimatedMs);
        return {job, cpu: demand.cpu, runMs, endsBy};
      });
  }
}

/** Jobs of each service, with the workers that can serve them. */
function groupByService(
  waiting: readonly ActiveJob[],
  workers: readonly LeasedWorker[],
) {
  const services = new Set(waiting.map(job => job.queue.service));
  return [...services].map(service => ({
    jobs: waiting.filter(job => job.queue.service === service),
    serving: workers.filter(w => canServe(w, service)),
  }));
}

function canServe({report, isSilent}: LeasedWorker, service: string): boolean {
  return report.service === service && !report.isDraining && !isSilent;
}
