import type {ActiveJob} from '../job/active_job.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolTask} from '../job/pool_task.js';
import type {PoolObserver} from '../pool_observer.js';
import type {RunTimes} from './run_times.js';
import {SpareWorkers} from './spare_workers.js';
import {StragglerPolicy} from './straggler_policy.js';

/** Early stops of one task; a task that is moved again and again never ends. */
const MAX_EARLY_STOPS = 2;

interface StragglerWatchOptions {
  readonly times: RunTimes;
  readonly observer: PoolObserver;
  /** Slowdown of a task that runs outside the rack of its data. */
  readonly remoteFactor: number;
  /** Whether starts on a worker are allowed. */
  readonly mayStartOn: (worker: LeasedWorker, now: number) => boolean;
}

/**
 * Stops runs on workers that have become slow, where a new run elsewhere ends
 * well before, and runs that never end. Long tasks on healthy workers are left
 * alone: what they have done would be lost.
 */
export class StragglerWatch {
  private readonly policy: StragglerPolicy;

  constructor(private readonly opts: StragglerWatchOptions) {
    this.policy = new StragglerPolicy(opts.times);
  }

  stopStragglers(
    jobs: Iterable<ActiveJob>,
    workers: readonly LeasedWorker[],
    now: number,
  ): void {
    const {times, mayStartOn, remoteFactor} = this.opts;
    const spare = new SpareWorkers({
      workers,
      slownessOf: id => times.slownessOf(id, now),
      isUsable: worker => mayStartOn(worker, now),
      remoteFactor,
    });
    for (const {tasks, isAbandoned} of jobs) {
      if (isAbandoned) continue;
      for (const task of tasks) this.check(task, spare, now);
    }
  }

  private check(task: PoolTask, spare: SpareWorkers, now: number): void {
    const {run, worker} = task;
    if (!run?.workload || !worker || run.stopRequestedAt !== undefined) return;
    const {policy} = this;
    const {id} = worker.report;
    if (policy.isEndless(run, id, task.stragglerStops, now)) {
      this.stop(task, 'endless', now);
      return;
    }
    if (task.stragglerStops >= MAX_EARLY_STOPS) return;
    if (!policy.isOnSlowWorker(run, id, now)) return;
    const place = spare.find(task);
    if (!place || !policy.isWorthMoving(run, id, place.factor, now)) return;
    place.take();
    this.stop(task, 'slow_worker', now);
  }

  private stop(task: PoolTask, reason: string, now: number): void {
    const {run, worker} = task;
    task.stragglerStops += 1;
    this.opts.observer.recordJobEvent('run_stopped_early', task.job.spec.id, {
      task: task.name,
      worker: worker!.report.id,
      reason,
      after_ms: Math.round(now - run!.sentAt),
    });
    worker!.stop(run!);
  }
}
