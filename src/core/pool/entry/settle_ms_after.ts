import type {DispatcherClaim} from '../node/dispatcher_claim.js';

/**
 * Time for which runs of a fallback may be active after another dispatcher has
 * taken over its workers: one lease on a slow clock.
 */
const FALLBACK_RUNS_MS = 800;
/**
 * Time after which no run is active of a dispatcher that this node no longer
 * polls: it drops the job after OWNER_TIMEOUT_MS, and its leases end.
 */
const EARLIER_RUNS_MS = 1_800;

/**
 * Time for which runs of `from` may be active that `to` does not know, in ms. A
 * new leader polls all workers before it starts anything, and its predecessor
 * cannot have sent orders since; the holder of a zone may have.
 */
export function settleMsAfter(
  from: DispatcherClaim,
  to: DispatcherClaim,
): number {
  if (from.isFallback) return FALLBACK_RUNS_MS;
  // The runs of a lost dispatcher have ended before a fallback starts.
  if (to.isFallback) return 0;
  const areLeaders = from.zone === undefined && to.zone === undefined;
  return areLeaders && from.term !== to.term ? 0 : EARLIER_RUNS_MS;
}
