import type {ActiveJob} from '../job/active_job.js';
import type {PoolObserver} from '../pool_observer.js';
import {isLost} from './is_lost.js';
import type {PoolDispatcher} from './pool_dispatcher.js';

interface DropContext {
  readonly observer: PoolObserver;
  /** When the jobs were last looked at. */
  readonly lastTickAt: number;
}

/** Drops jobs that their entry nodes have not stated to hold in time. */
export function dropSilentJobs(
  dispatcher: PoolDispatcher,
  {observer, lastTickAt}: DropContext,
  now: number,
): void {
  const jobsByOwner = new Map<string, ActiveJob[]>();
  dispatcher.dropJobs(job => {
    if (!isLost(job, now)) return false;
    const jobs = jobsByOwner.get(job.owner) ?? [];
    jobs.push(job);
    jobsByOwner.set(job.owner, jobs);
    return true;
  });
  for (const [owner, jobs] of jobsByOwner) {
    const contactAt = Math.min(...jobs.map(job => job.contactAt));
    observer.recordStateChange('owner_silent', {
      owner,
      jobs: jobs.length,
      silent_ms: Math.round(now - contactAt),
      // A late tick breaks the bound on the silence.
      since_tick_ms: Math.round(now - lastTickAt),
      token: dispatcher.token,
    });
  }
}
