import type {FleetView} from '../fleet_view.js';
import type {ClassState} from './class_state.js';
import {maxMinFairShare} from './max_min_fair_share.js';
import type {TenantQuotas} from './tenant_quotas.js';

/** Share of the slots that is allocated to classes without demand. */
const IDLE_SHARE = 0.1;
/** Share of the time between run time and target that a task may wait. */
const WAIT_SHARE = 0.5;
/** Smallest wait that is planned for, as a share of the target. */
const MIN_WAIT_SHARE = 0.05;
const RUN_QUANTILE = 0.95;
const TENANT_INTERVAL_MS = 10;
/** Expected demand and reserves are costly and thus computed less often. */
const PLAN_INTERVAL_MS = 5;
/**
 * Averaging window of fair shares, as a share of the shortest target of the
 * classes with demand. Enforcing the shares at every instant makes small jobs
 * of one class wait for a large job of another during short peaks.
 */
const WINDOW_SHARE = 0.5;
const MIN_WINDOW_MS = 50;
const MAX_WINDOW_MS = 5_000;

/**
 * Allocates slots to classes and, inside a class, to tenants by max-min
 * fairness. A class may borrow slots beyond its fair share as long as the slots
 * that other classes are expected to need are free or are expected to be
 * released in time.
 */
export class FairShareAllocator {
  private nextTenants = 0;
  private nextPlan = 0;

  constructor(private readonly quotas: TenantQuotas) {}

  refresh(classes: readonly ClassState[], fleet: FleetView, now: number): void {
    const {totalSlots} = fleet;
    const minClaim = (IDLE_SHARE * totalSlots) / Math.max(1, classes.length);
    const isPlanDue = now >= this.nextPlan;
    if (isPlanDue) {
      for (const state of classes) state.estimator.record(state.demand, now);
    }
    this.allocate(classes, totalSlots, minClaim);
    if (!isPlanDue) return;
    this.nextPlan = now + PLAN_INTERVAL_MS;
    const windowMs = getWindowMs(classes);
    for (const {burstCredit, fairShare} of classes) {
      burstCredit.accrue(fairShare, windowMs, now);
    }
    this.setReserves(classes, minClaim);
    if (now < this.nextTenants) return;
    this.nextTenants = now + TENANT_INTERVAL_MS;
    for (const state of classes) this.setTenantFairShare(state, windowMs, now);
  }

  /** Makes the next `refresh` recompute everything; time may restart. */
  reset(): void {
    this.nextPlan = 0;
    this.nextTenants = 0;
  }

  private allocate(
    classes: readonly ClassState[],
    totalSlots: number,
    minClaim: number,
  ): void {
    const claims: number[] = [];
    let claimed = 0;
    for (const {demand, estimator} of classes) {
      const claim = Math.max(demand, estimator.expectedSlots, minClaim);
      claims.push(claim);
      claimed += claim;
    }
    const isEnough = claimed <= totalSlots;
    const share = isEnough ? Infinity : maxMinFairShare(claims, totalSlots);
    const spare = isEnough ? totalSlots - claimed : 0;
    for (const [at, state] of classes.entries()) {
      state.fairShare = Math.min(claims[at]!, share);
      state.entitledSlots = state.fairShare + spare;
    }
  }

  /**
   * Sets the number of free slots that each class must leave to the others. A
   * class that lacks slots of its fair share can use free slots and slots
   * released within its wait budget. Classes with a shorter budget are served
   * first, so the slots that they lack count against the later classes too.
   */
  private setReserves(classes: readonly ClassState[], minClaim: number): void {
    const owners = classes
      .map(state => {
        const wanted = Math.max(minClaim, state.estimator.expectedSlots);
        const missing = Math.min(state.fairShare, wanted) - state.running;
        return {
          state,
          waitMs: getWaitBudgetMs(state),
          missing: Math.max(0, missing),
        };
      })
      .sort((a, b) => a.waitMs - b.waitMs);
    for (const {state} of owners) state.reservedForOthers = 0;
    let missing = 0;
    for (const owner of owners) {
      missing += owner.missing;
      const released = getExpectedReleases(classes, owner.waitMs);
      if (missing <= released) continue;
      for (const {state, waitMs, missing: own} of owners) {
        if (state === owner.state) continue;
        const isCounted = waitMs <= owner.waitMs;
        const reserve = missing - (isCounted ? own : 0) - released;
        state.reservedForOthers = Math.max(
          state.reservedForOthers,
          Math.round(reserve),
        );
      }
    }
  }

  private setTenantFairShare(
    state: ClassState,
    windowMs: number,
    now: number,
  ): void {
    state.overQuota = this.quotas.countOverQuota(state);
    state.tenantFairShare = Infinity;
    if (state.waitingTenants.length === 0 || state.tenants.size < 2) return;
    const demands: number[] = [];
    for (const tenant of state.tenants.values()) {
      demands.push(tenant.running + tenant.queued);
    }
    state.tenantFairShare = maxMinFairShare(demands, state.entitledSlots);
    for (const {burstCredit, running, queued} of state.tenants.values()) {
      const share = Math.min(state.tenantFairShare, running + queued);
      burstCredit.accrue(share, windowMs, now);
    }
  }
}

function getWindowMs(classes: readonly ClassState[]): number {
  let target = MAX_WINDOW_MS / WINDOW_SHARE;
  for (const {queued, running, config} of classes) {
    if (queued + running > 0) target = Math.min(target, config.target_ms);
  }
  return Math.max(MIN_WINDOW_MS, WINDOW_SHARE * target);
}

/** Number of slots that are expected to be released within `waitMs`. */
function getExpectedReleases(
  classes: readonly ClassState[],
  waitMs: number,
): number {
  let sum = 0;
  for (const {running, runTimes} of classes) {
    // Tasks whose run time is unknown are not expected to end soon.
    if (running === 0 || runTimes.isEmpty) continue;
    sum += running * (1 - Math.exp(-waitMs / runTimes.meanResidual));
  }
  return sum;
}

/** Time in ms that a task may wait and still meet the target of its class. */
function getWaitBudgetMs({config, runTimes}: ClassState): number {
  const runMs = runTimes.isEmpty ? 0 : runTimes.quantile(RUN_QUANTILE);
  const waitMs = WAIT_SHARE * (config.target_ms - runMs);
  return Math.max(MIN_WAIT_SHARE * config.target_ms, waitMs);
}
