import type {LeasedWorker} from './leased_worker.js';
import type {ActiveJob} from './active_job.js';
import type {RunTimes} from './run_times.js';

interface InfeasibleJob {
  readonly job: ActiveJob;
  /** Expected time until the work ahead of the job is done. */
  readonly clearInMs: number;
}

/**
 * Predicts completion times under overload. The work ahead of a waiting job
 * determines when it can end; a job that would be answered too late is refused
 * early, while its caller can still use another service.
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
    const services = new Set(waiting.map(job => job.queue.service));
    return [...services].flatMap(service =>
      this.findIn(
        waiting.filter(job => job.queue.service === service),
        workers.filter(w => canServe(w, service)),
        now,
      ),
    );
  }

  private findIn(
    waiting: readonly ActiveJob[],
    workers: readonly LeasedWorker[],
    now: number,
  ): InfeasibleJob[] {
    const slots = countTaskSlots(waiting, workers);
    if (slots === 0) return [];
    const infeasible: ActiveJob[] = [];
    let aheadMs = this.remainingRunMs(workers, now);
    for (const job of waiting) {
      const endsAt = now + aheadMs / slots + this.times.remainingMs(job);
      if (job.isPending && endsAt > job.usefulUntil) infeasible.push(job);
      else aheadMs += this.times.remainingWorkMs(job);
    }
    const clearInMs = aheadMs / slots;
    return infeasible.map(job => ({job, clearInMs}));
  }

  /** Expected remaining time of all active runs, summed, in ms. */
  private remainingRunMs(
    workers: readonly LeasedWorker[],
    now: number,
  ): number {
    let sum = 0;
    for (const worker of workers) {
      for (const {sentAt, expectedMs} of worker.runs.values()) {
        sum += Math.max(0, sentAt + expectedMs - now);
      }
    }
    return sum;
  }
}

function canServe({report, isSilent}: LeasedWorker, service: string): boolean {
  return report.service === service && !report.isDraining && !isSilent;
}

/** Number of tasks of mean CPU demand that the workers can run at once. */
function countTaskSlots(
  waiting: readonly ActiveJob[],
  workers: readonly LeasedWorker[],
): number {
  let cpu = 0;
  let tasks = 0;
  for (const {spec} of waiting) {
    for (const {count, demand} of spec.steps) {
      cpu += count * demand.cpu;
      tasks += count;
    }
  }
  if (cpu === 0) return 0;
  const mean = cpu / tasks;
  return workers.reduce(
    (sum, {report}) => sum + Math.floor(report.capacity.cpu / mean),
    0,
  );
}
