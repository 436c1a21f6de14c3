import type {Destination} from '../lending/destination.js';
import type {DispatcherClaims} from '../node/dispatcher_claims.js';
import type {OpenJob} from './open_job.js';

/**
 * Gives a job to the dispatcher of another zone. The home zone has started
 * nothing of it, so that it counts as one that no dispatcher had.
 */
export function followRedirect(
  job: OpenJob,
  {zone, node, token}: Destination,
  claims: DispatcherClaims,
  now: number,
): void {
  job.zone = zone;
  job.isLent = true;
  job.assignedTo = undefined;
  // The home has heard the holder; it sends its claim here once it has the job.
  claims.record({
    node,
    term: claims.lastLeader?.term ?? 0,
    token,
    isFallback: false,
    zone,
    revision: claims.revision,
    heardAt: now,
  });
}
