import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import {FailoverTiming} from '../node/failover_timing.js';

/** Contact of an entry node with the dispatcher of one zone. */
export class ZoneContact {
  private current: DispatcherClaim | undefined;
  private dispatcherSeenAt = Number.NEGATIVE_INFINITY;
  /** Time of the last contact with the leader or holder. */
  private leaderSeenAt = Number.NEGATIVE_INFINITY;

  /** Claim of the present dispatcher; undefined if none is known. */
  get claim(): DispatcherClaim | undefined {
    return this.current;
  }

  /** When a dispatcher was last known. */
  get seenAt(): number {
    return this.dispatcherSeenAt;
  }

  update(claim: DispatcherClaim | undefined, now: number): void {
    this.current = claim;
    if (!claim) return;
    this.dispatcherSeenAt = now;
    if (!claim.isFallback) this.leaderSeenAt = claim.heardAt;
  }

  /** Whether a job may be submitted to another dispatcher than `from`. */
  mayReassign(from: DispatcherClaim | undefined, now: number): boolean {
    if (!from || from.isFallback || !this.current?.isFallback) return true;
    // A fallback cannot see runs in other zones, so those must have ended first.
    return now - this.leaderSeenAt >= FailoverTiming.RUNS_ENDED_MS;
  }
}
