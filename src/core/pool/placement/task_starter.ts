import {CrashPolicy} from '../crashes/crash_policy.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {ActiveJob} from '../job/active_job.js';
import type {PoolObserver} from '../pool_observer.js';
import type {PoolTask} from '../job/pool_task.js';
import {Run} from '../lease/run.js';
import type {RunTrace} from '../trace/run_trace.js';
import type {RunTimes} from './run_times.js';
import {StartCandidates} from './start_candidates.js';
import type {WorkerCircuitBreaker} from './worker_circuit_breaker.js';

interface TaskStarterOptions {
  readonly times: RunTimes;
  readonly breaker: WorkerCircuitBreaker;
  readonly trace: RunTrace;
  readonly observer: PoolObserver;
  /** Slowdown of a task that runs outside the rack of its data. */
  readonly remoteFactor: number;
}

/** Starts waiting tasks on workers with free capacity. */
export class TaskStarter {
  constructor(private readonly opts: TaskStarterOptions) {}

  /** Starts as many tasks as fit, in the order of the jobs. */
  startAll(
    jobs: readonly ActiveJob[],
    workers: readonly LeasedWorker[],
    now: number,
  ): void {
    if (jobs.length === 0) return;
    const {times, breaker, remoteFactor} = this.opts;
    const candidates = new StartCandidates({
      workers,
      times,
      breaker,
      now,
      remoteFactor,
    });
    // A task that needs at least as much CPU as one that did not fit is skipped.
    const minUnplacedCpu = new Map<string, number>();
    for (const {tasks, spec, queue} of jobs) {
      for (const task of tasks) {
        if (task.state !== 'waiting') continue;
        if (!CrashPolicy.mayStart(task.losses)) continue;
        const {demand, requiredLabel = ''} = spec.steps[task.step]!;
        const kind = `${queue.service} ${requiredLabel}`;
        if (demand.cpu >= (minUnplacedCpu.get(kind) ?? Infinity)) continue;
        const isStarted = candidates.place(task, (worker, factor) =>
          this.start(task, worker, factor, now),
        );
        const hasOwnLimits =
          candidates.isLimitedBySpeed(task) ||
          spec.steps[task.step]!.maxPerWorker ||
          CrashPolicy.isSuspect(task.losses);
        if (!isStarted && !hasOwnLimits) {
          minUnplacedCpu.set(kind, demand.cpu);
        }
      }
    }
  }

  private start(
    task: PoolTask,
    worker: LeasedWorker,
    distanceFactor: number,
    now: number,
  ): void {
    const {job, name, nextRunNumber} = task;
    const {spec, queue} = job;
    const {demand, estimatedMs} = spec.steps[task.step]!;
    const run = new Run(name, nextRunNumber, demand, now, job);
    run.workload = {queue: queue.name, estimatedMs, distanceFactor};
    run.isSuspect = CrashPolicy.isSuspect(task.losses);
    task.nextRunNumber += 1;
    task.run = run;
    task.worker = worker;
    task.state = 'running';
    task.job.recordStart(now);
    this.opts.observer.incrementCounter('starts');
    this.opts.trace.recordStart(task, worker, now);
    worker.start(run, spec.payload);
  }
}
