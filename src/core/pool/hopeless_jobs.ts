import type {PoolEntry} from './pool_entry.js';
import type {RunTimes} from './run_times.js';

/**
 * Finds jobs that cannot be answered while the answer is of use: after an
 * outage or in a burst, room goes to the jobs that can. Only jobs of which no
 * task has started count, so refusing them is true.
 */
export class HopelessJobs {
  constructor(private readonly times: RunTimes) {}

  find(jobs: Iterable<PoolEntry>, now: number): PoolEntry[] {
    const found: PoolEntry[] = [];
    for (const entry of jobs) {
      if (!entry.isPending) continue;
      const doneAt = now + this.times.restMs(entry);
      if (doneAt > entry.usefulUntil) found.push(entry);
    }
    return found;
  }
}
