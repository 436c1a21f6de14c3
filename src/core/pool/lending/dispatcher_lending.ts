import type {BacklogForecast} from '../admission/backlog_forecast.js';
import type {Takeover} from '../dispatcher/takeover.js';
import type {ActiveJob} from '../job/active_job.js';
import type {PoolJobs} from '../job/pool_jobs.js';
import type {PoolSubmission} from '../job/pool_submission.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {RunTimes} from '../placement/run_times.js';
import type {CapacityLending} from './capacity_lending.js';
import {Room} from './room.js';
import {SpareRoom} from './spare_room.js';

/**
 * Time between two forecasts of late jobs. Jobs of a burst arrive together, and
 * a job of 60 ms is on time if it starts within 96 ms.
 */
const FORECAST_INTERVAL_MS = 8;
/**
 * Share of a job's slack that is left when it has to end at home. Jobs that
 * arrive later may go first, and a job whose slack is used up is late elsewhere
 * too. With 0, jobs on time in a zone with a burst: 0.851; with 0.3: 0.866; with
 * 0.6: 0.867, for a sixth more moves (`measure -- zones`, one seed).
 */
const MARGIN_SHARE = 0.3;
/** Reason of the move of a job that would be late, but of use, at home. */
const LATE = 'late';

interface DispatcherLendingOptions {
  /** Absent if the node's dispatcher neither borrows nor lends. */
  readonly lending: CapacityLending | undefined;
  readonly jobs: PoolJobs;
  readonly times: RunTimes;
  readonly forecast: BacklogForecast;
  readonly takeover: Takeover;
}

/** What one dispatcher borrows and lends. */
export class DispatcherLending {
  private readonly spare = new SpareRoom();
  private nextForecast = 0;

  constructor(private readonly opts: DispatcherLendingOptions) {}

  /** Records a submission; returns whether its job is redirected again. */
  redirectAgain(
    owner: string,
    {job, isLent, settleMs = 0}: PoolSubmission,
    now: number,
  ): boolean {
    const {lending} = this.opts;
    for (const {count, demand} of lending ? job.steps : []) {
      lending?.taskSize.record(demand.cpu, count);
    }
    if (isLent || settleMs > 0) {
      // It may run here, whatever this dispatcher did with it before: its home has
      // moved it here, or another dispatcher of this zone had it since.
      lending?.forget(job.id);
      return false;
    }
    return lending?.redirectAgain(owner, job.id, now) ?? false;
  }

  /**
   * Moves waiting jobs that would be late to dispatchers with room; returns the
   * jobs that stay. To be called before starts.
   */
  moveLate(
    waiting: ActiveJob[],
    workers: readonly LeasedWorker[],
    now: number,
  ): ActiveJob[] {
    const {lending, forecast, takeover} = this.opts;
    if (!lending || now < this.nextForecast) return waiting;
    if (!takeover.areRunsReported(workers)) return waiting;
    if (!lending.hasOffers(now)) return waiting;
    if (!waiting.some(job => this.mayMove(job))) return waiting;
    if (canAllStart(waiting, workers, now)) return waiting;
    this.nextForecast = now + FORECAST_INTERVAL_MS;
    const late = forecast.findLate(waiting, workers, homeEndOf, now);
    const moved = this.move(late, LATE, now);
    return waiting.filter(job => !moved.has(job));
  }

  /** Moves a job that would be refused otherwise; false if no one has room. */
  moveRefused(
    job: ActiveJob,
    reason: string,
    workers: readonly LeasedWorker[],
    now: number,
  ): boolean {
    if (!this.opts.takeover.areRunsReported(workers)) return false;
    return this.move([job], reason, now).has(job);
  }

  /** What the dispatcher offers to each of the others. */
  room(
    jobs: Iterable<ActiveJob>,
    workers: readonly LeasedWorker[],
    now: number,
  ): Room {
    const {lending} = this.opts;
    if (!lending) return Room.NONE;
    let waitingTasks = 0;
    for (const {isAbandoned, tasks} of jobs) {
      if (isAbandoned) continue;
      for (const {state} of tasks) if (state === 'waiting') waitingTasks += 1;
    }
    const usable = workers.filter(w => w.isUsable(now));
    return this.spare.offer({
      workers: usable.map(({freeCapacity, report}) => ({
        freeCpu: freeCapacity.cpu,
        cpu: report.capacity.cpu,
      })),
      waitingTasks,
      usualCpu: lending.taskSize.cpu,
      borrowers: lending.countBorrowers(now),
    });
  }

  private mayMove(job: ActiveJob): boolean {
    if (!job.isPending || job.isLent) return false;
    return !this.opts.jobs.mayHaveRun(job.spec.id);
  }

  private move(
    jobs: readonly ActiveJob[],
    reason: string,
    now: number,
  ): ReadonlySet<ActiveJob> {
    const {lending, times} = this.opts;
    const movable = jobs.filter(job => this.mayMove(job));
    if (!lending || movable.length === 0) return new Set();
    const moved = lending.move(
      {
        jobs: movable,
        expectedMs: (queue, ms) => times.expectedMs(queue, ms),
        endsBy: job =>
          reason === LATE ? job.objectiveAt : times.usefulUntil(job),
        reason,
      },
      now,
    );
    for (const job of moved) this.opts.jobs.forget(job);
    return new Set(moved);
  }
}

/** Time by which a job has to end at home; it is moved otherwise. */
function homeEndOf({objectiveAt, arrivedAt, criticalPathMs}: ActiveJob) {
  const slackMs = objectiveAt - arrivedAt - criticalPathMs;
  return objectiveAt - MARGIN_SHARE * Math.max(0, slackMs);
}

/**
 * Whether there is a free place for each waiting task, so that nothing is late.
 * Cheaper than a forecast, and true for most passes.
 */
function canAllStart(
  waiting: readonly ActiveJob[],
  workers: readonly LeasedWorker[],
  now: number,
): boolean {
  let tasks = 0;
  let largest = 1;
  const services = new Set<string>();
  for (const {spec, queue, tasks: all} of waiting) {
    services.add(queue.service);
    for (const {state, step} of all) {
      if (state !== 'waiting') continue;
      tasks += 1;
      largest = Math.max(largest, spec.steps[step]!.demand.cpu);
    }
  }
  if (services.size > 1) return false;
  for (const worker of workers) {
    if (!services.has(worker.report.service) || !worker.isUsable(now)) continue;
    tasks -= Math.floor(Math.max(0, worker.freeCapacity.cpu) / largest);
    if (tasks <= 0) return true;
  }
  return false;
}
