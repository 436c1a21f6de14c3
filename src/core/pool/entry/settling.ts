import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import {FailoverTiming} from '../node/failover_timing.js';

interface Change {
  /** Zone of the job. */
  readonly zone: string;
  readonly from: DispatcherClaim;
  readonly to: DispatcherClaim;
}

/** How a job is handed from one dispatcher to another. */
export const Settling = {
  /** Time for which runs of `from` may be active that `to` does not know, in ms. */
  durationMs: ({from, to}: Change): number => {
    if (from.isFallback) return FailoverTiming.RUNS_ENDED_MS;
    // The runs of a lost dispatcher have ended before a fallback starts.
    if (to.isFallback) return 0;
    const areLeaders = from.zone === undefined && to.zone === undefined;
    const isNewTerm = areLeaders && from.term !== to.term;
    // Its predecessor can have sent no orders without a majority's confirmation.
    return isNewTerm && servesAll(to)
      ? FailoverTiming.LEADER_RUNS_ENDED_MS
      : FailoverTiming.RUNS_ENDED_MS;
  },

  /**
   * Token that all workers of `to` must have passed for each run of `from` to be
   * known; infinite if `from` may have runs on workers that `to` does not have.
   */
  earlierToken: ({zone, from, to}: Change): number => {
    // A leader that had no contact with the zone may lack workers of it.
    if (from.isFallback) return Number.POSITIVE_INFINITY;
    const fromZone = from.zone ?? from.soleZone;
    const isCovered = fromZone === zone || servesAll(to);
    return isCovered ? from.token : Number.POSITIVE_INFINITY;
  },
};

function servesAll({zone, grants = [], unserved = []}: DispatcherClaim) {
  return zone === undefined && grants.length + unserved.length === 0;
}
