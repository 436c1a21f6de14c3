import type {PoolEntry} from './pool_entry.js';
import type {RunTimes} from './run_times.js';

/** A run that takes this many times as long as the longest usual is stopped. */
const PATIENCE = 2;
/** Factor by which each stop of a task lengthens the next patience. */
const GROWTH = 4;
/** Runs are never stopped as stragglers before this time. */
const MIN_MS = 150;

/** Stops runs that take far longer than others of their queue. */
export class StragglerWatch {
  constructor(private readonly times: RunTimes) {}

  stopLate(jobs: Iterable<PoolEntry>, now: number): void {
    for (const {tasks, queue, job, isAbandoned} of jobs) {
      if (isAbandoned) continue;
      for (const task of tasks) {
        const {run, worker} = task;
        if (!run || !worker || run.stopAskedAt !== undefined) continue;
        const {estimatedMs} = job.steps[task.step]!;
        const longMs = this.times.longMs(queue.name, estimatedMs);
        // The task itself may be long: each further run gets more time.
        const patience = PATIENCE * GROWTH ** task.stragglers;
        if (now - run.sentAt <= MIN_MS + patience * longMs) continue;
        task.stragglers += 1;
        worker.stop(run);
      }
    }
  }
}
