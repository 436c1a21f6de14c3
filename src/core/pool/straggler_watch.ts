import type {PoolEntry} from './pool_entry.js';
import type {RunTimes} from './run_times.js';

/** A run that takes this many times as long as the longest usual is stopped. */
const PATIENCE = 2;
/** Runs are never stopped as stragglers before this time. */
const MIN_MS = 150;

/** Stops runs that take far longer than others of their queue. */
export class StragglerWatch {
  constructor(private readonly times: RunTimes) {}

  stopLate(jobs: Iterable<PoolEntry>, now: number): void {
    for (const {tasks, queue, job, isAbandoned} of jobs) {
      if (isAbandoned) continue;
      for (const {run, worker, step} of tasks) {
        if (!run || !worker || run.stopAskedAt !== undefined) continue;
        const {estimatedMs} = job.steps[step]!;
        const longMs = this.times.longMs(queue.name, estimatedMs);
        if (now - run.sentAt > MIN_MS + PATIENCE * longMs) worker.stop(run);
      }
    }
  }
}
