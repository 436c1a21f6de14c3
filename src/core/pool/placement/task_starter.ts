import type {ActiveJob} from '../job/active_job.js';
import {CrashPolicy} from '../crashes/crash_policy.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolObserver} from '../pool_observer.js';
import type {PoolTask} from '../job/pool_task.js';
import {Run} from '../lease/run.js';
import type {TaskPlacement} from './task_placement.js';
import {UnplacedTasks} from './unplaced_tasks.js';

/** Starts waiting tasks on workers with free capacity. */
export class TaskStarter {
  constructor(
    private readonly placement: TaskPlacement,
    private readonly observer: PoolObserver,
  ) {}

  /**
   * Starts as many tasks as fit, in the order of the jobs. Of `jobs`, no more
   * are taken once no waiting task can fit; `minCpu` is the smallest demand.
   */
  startAll(
    jobs: Iterable<ActiveJob>,
    workers: readonly LeasedWorker[],
    minCpu: ReadonlyMap<string, number>,
    now: number,
  ): void {
    if (minCpu.size === 0) return;
    const {placement} = this;
    placement.begin(workers, now);
    // Services of which no worker has room for the smallest waiting task.
    const full = new Set<string>();
    const checkRoom = (service: string) => {
      const cpu = minCpu.get(service) ?? Number.POSITIVE_INFINITY;
      if (!placement.hasRoom(service, cpu)) full.add(service);
    };
    for (const service of minCpu.keys()) checkRoom(service);
    if (full.size === minCpu.size) return;
    const unplaced = new UnplacedTasks();
    for (const job of jobs) {
      const {service} = job.queue;
      if (full.has(service)) continue;
      const hasPlaced = this.startJob(job, unplaced, now);
      if (!hasPlaced) checkRoom(service);
      if (full.size === minCpu.size) return;
    }
  }

  /** Returns whether all waiting tasks of the job were started. */
  private startJob(
    {tasks, spec, queue}: ActiveJob,
    unplaced: UnplacedTasks,
    now: number,
  ): boolean {
    const {placement} = this;
    let hasPlaced = true;
    for (const task of tasks) {
      if (task.state !== 'waiting') continue;
      if (!CrashPolicy.mayStart(task.losses)) continue;
      const {demand, requiredLabel = '', maxPerWorker} = spec.steps[task.step]!;
      const kind = `${queue.service} ${requiredLabel}`;
      const needs = {cpu: demand.cpu, maxSlowness: placement.maxSlowness(task)};
      if (unplaced.includes(kind, needs)) continue;
      const isStarted = placement.place(task, (worker, factor) =>
        this.start(task, worker, factor, now),
      );
      if (isStarted) continue;
      hasPlaced = false;
      const hasOwnLimits = maxPerWorker || CrashPolicy.isSuspect(task.losses);
      if (!hasOwnLimits) unplaced.add(kind, needs);
    }
    return hasPlaced;
  }

  private start(
    task: PoolTask,
    worker: LeasedWorker,
    distanceFactor: number,
    now: number,
  ): void {
    const {spec, queue} = task.job;
    const {demand, estimatedMs} = spec.steps[task.step]!;
    const run = new Run(task.name, task.nextRunNumber, demand, now);
    run.workload = {queue: queue.name, estimatedMs, distanceFactor};
    run.isSuspect = CrashPolicy.isSuspect(task.losses);
    task.nextRunNumber += 1;
    task.run = run;
    task.worker = worker;
    task.state = 'running';
    task.job.hasStarted = true;
    this.observer.incrementCounter('starts');
    worker.start(run, spec.payload);
  }
}
