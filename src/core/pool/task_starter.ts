import type {LeasedWorker} from './leased_worker.js';
import type {PoolEntry} from './pool_entry.js';
import type {PoolObserver} from './pool_observer.js';
import type {PoolTask} from './pool_task.js';
import {Run} from './run.js';
import type {RunTimes} from './run_times.js';
import type {WorkerChooser} from './worker_chooser.js';

/** Starts waiting tasks where there is room. */
export class TaskStarter {
  constructor(
    private readonly chooser: WorkerChooser,
    private readonly times: RunTimes,
    private readonly observer: PoolObserver,
  ) {}

  /** Starts what fits, the tasks of the first job before those of others. */
  startAll(
    jobs: readonly PoolEntry[],
    workers: readonly LeasedWorker[],
    now: number,
  ): void {
    // Room that a small task did not find is not looked for again.
    const leastCpu = new Map<string, number>();
    for (const {tasks, job, queue} of jobs) {
      for (const task of tasks) {
        if (task.state !== 'waiting') continue;
        const {demand, requiredLabel = ''} = job.steps[task.step]!;
        const kind = `${queue.service} ${requiredLabel}`;
        if (demand.cpu >= (leastCpu.get(kind) ?? Infinity)) continue;
        const worker = this.chooser.choose(task, workers, now);
        if (worker) this.start(task, worker, now);
        else if (!job.steps[task.step]!.maxPerWorker) {
          leastCpu.set(kind, demand.cpu);
        }
      }
    }
  }

  private start(task: PoolTask, worker: LeasedWorker, now: number): void {
    const {job} = task.job;
    const {demand} = job.steps[task.step]!;
    const run = new Run(task.name, task.nextRun, demand, now);
    run.expectedMs = this.times.expectedMs(
      task.job.queue.name,
      job.steps[task.step]!.estimatedMs,
    );
    task.nextRun += 1;
    task.run = run;
    task.worker = worker;
    task.state = 'running';
    task.job.hasStarted = true;
    this.observer.incrementCounter('starts');
    worker.start(run, job.payload);
  }
}
