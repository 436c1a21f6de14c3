import type {ActiveJob} from '../job/active_job.js';
import type {RunTimes} from '../placement/run_times.js';

/**
 * Finds jobs that cannot be answered while the answer is useful. After an outage
 * or in a burst, the capacity then goes to jobs that can. Only jobs without a
 * started task are returned, since a refusal states that nothing has run.
 */
export class InfeasibleJobs {
  constructor(private readonly times: RunTimes) {}

  find(jobs: Iterable<ActiveJob>, now: number): ActiveJob[] {
    const found: ActiveJob[] = [];
    for (const job of jobs) {
      if (!job.isPending) continue;
      const doneAt = now + this.times.remainingMs(job);
      if (doneAt > this.times.usefulUntil(job)) found.push(job);
    }
    return found;
  }
}
