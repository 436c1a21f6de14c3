import type {ActiveJob} from '../job/active_job.js';
import type {RunTimes} from '../placement/run_times.js';

/**
 * Sorts jobs: those that can still be on time first, then by remaining work.
 * Jobs that other zones have moved here come last until they have started.
 */
export class JobPrioritizer {
  constructor(private readonly times: RunTimes) {}

  /** Returns the jobs with waiting tasks, highest priority first. */
  sort(jobs: Iterable<ActiveJob>, now: number): ActiveJob[] {
    const keyed: Array<{job: ActiveJob; key: number}> = [];
    for (const job of jobs) {
      if (job.isAbandoned || job.isSettling) continue;
      if (!job.tasks.some(t => t.state === 'waiting')) continue;
      keyed.push({job, key: this.priorityKey(job, now)});
    }
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(k => k.job);
  }

  private priorityKey(job: ActiveJob, now: number): number {
    const endsAt = now + this.times.remainingMs(job);
    const workMs =
      this.times.remainingWorkMs(job) +
      (job.isLent && !job.hasStarted ? LENT_PENALTY_MS : 0);
    if (endsAt <= job.objectiveAt) return workMs;
    // What a late job has had done is lost unless the rest follows soon.
    const isWorthFinishing =
      job.hasStarted && endsAt <= this.times.usefulUntil(job);
    return workMs + (isWorthFinishing ? 0 : LATE_PENALTY_MS);
  }
}

/** Exceeds the remaining work of any job. */
const LATE_PENALTY_MS = 1e9;
/** Exceeds the key of any other job. */
const LENT_PENALTY_MS = 1e10;
