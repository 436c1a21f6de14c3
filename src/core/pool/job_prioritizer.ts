import type {ActiveJob} from './active_job.js';
import type {RunTimes} from './run_times.js';

/** Sorts jobs: those that can still be on time first, then by remaining work. */
export class JobPrioritizer {
  constructor(private readonly times: RunTimes) {}

  /** Returns the jobs with waiting tasks, highest priority first. */
  sort(jobs: Iterable<ActiveJob>, now: number): ActiveJob[] {
    const keyed: Array<{job: ActiveJob; key: number}> = [];
    for (const job of jobs) {
      if (job.isAbandoned || now < job.earliestStartAt) continue;
      if (!job.tasks.some(t => t.state === 'waiting')) continue;
      keyed.push({job, key: this.priorityKey(job, now)});
    }
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(k => k.job);
  }

  private priorityKey(job: ActiveJob, now: number): number {
    const remainingMs = this.times.remainingMs(job);
    const workMs = this.times.remainingWorkMs(job);
    const isLate = now + remainingMs > job.objectiveAt;
    return workMs + (isLate ? LATE_PENALTY_MS : 0);
  }
}

/** Exceeds the remaining work of any job. */
const LATE_PENALTY_MS = 1e9;
