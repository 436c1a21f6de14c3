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
    const longRatios = new Map<string, number>();
    for (const {tasks, queue, job, isAbandoned} of jobs) {
      if (isAbandoned) continue;
      const known = longRatios.get(queue.name);
      const longRatio = known ?? this.times.longRatio(queue.name);
      longRatios.set(queue.name, longRatio);
      for (const task of tasks) {
        const {run, worker} = task;
        if (!run || !worker || run.stopAskedAt !== undefined) continue;
        const {estimatedMs} = job.steps[task.step]!;
        const longMs = estimatedMs * longRatio;
        // The task itself may be long: each further run gets more time.
        const patience = PATIENCE * GROWTH ** task.stragglers;
        if (now - run.sentAt <= MIN_MS + patience * longMs) continue;
        task.stragglers += 1;
        worker.stop(run);
      }
    }
  }
}
