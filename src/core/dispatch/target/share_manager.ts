import type {FleetView} from '../fleet_view.js';
import type {ClassState} from './class_state.js';
import {maxMinLevel} from './max_min_level.js';
import type {TenantLimits} from './tenant_limits.js';

/** Share of the fleet kept within reach of classes that show no demand. */
const IDLE_SHARE = 0.1;
/** Share of the time between run time and target that may pass as a wait. */
const WAIT_SHARE = 0.5;
/** Smallest wait that is planned for, as a share of the target. */
const MIN_WAIT_SHARE = 0.05;
const RUN_QUANTILE = 0.95;
const TENANT_INTERVAL_MS = 10;
/** Expectations need not be newer; they cost more than the parts do. */
const PLAN_INTERVAL_MS = 5;
/**
 * Parts hold on average over this share of the shortest target with demand.
 * Parts that hold at every moment make small jobs of one class wait for a
 * large job of another, although the fleet is not full for long.
 */
const WINDOW_SHARE = 0.5;
const MIN_WINDOW_MS = 50;
const MAX_WINDOW_MS = 5_000;

/**
 * Divides the slots among the classes and, inside a class, among the tenants.
 * A class may borrow beyond its part as long as the slots that others are
 * expected to want are free, or are expected to be released in time.
 */
export class ShareManager {
  private nextTenants = 0;
  private nextPlan = 0;

  constructor(private readonly limits: TenantLimits) {}

  refresh(classes: readonly ClassState[], fleet: FleetView, now: number): void {
    const {totalSlots} = fleet;
    const idle = (IDLE_SHARE * totalSlots) / Math.max(1, classes.length);
    const isPlanDue = now >= this.nextPlan;
    if (isPlanDue) {
      for (const state of classes) state.expected.note(state.demand, now);
    }
    this.divide(classes, totalSlots, idle);
    if (!isPlanDue) return;
    this.nextPlan = now + PLAN_INTERVAL_MS;
    const windowMs = windowOf(classes);
    for (const {credit, part} of classes) {
      credit.note(part, windowMs, now);
    }
    this.setReserves(classes, idle);
    if (now < this.nextTenants) return;
    this.nextTenants = now + TENANT_INTERVAL_MS;
    for (const state of classes) this.setTenantLevel(state, windowMs, now);
  }

  /** Forgets when the next plan is due; time may start anew. */
  reset(): void {
    this.nextPlan = 0;
    this.nextTenants = 0;
  }

  private divide(
    classes: readonly ClassState[],
    totalSlots: number,
    idle: number,
  ): void {
    const claims: number[] = [];
    let claimed = 0;
    for (const {demand, expected} of classes) {
      const claim = Math.max(demand, expected.slots, idle);
      claims.push(claim);
      claimed += claim;
    }
    const isEnough = claimed <= totalSlots;
    const level = isEnough ? Infinity : maxMinLevel(claims, totalSlots);
    const spare = isEnough ? totalSlots - claimed : 0;
    for (const [at, state] of classes.entries()) {
      state.part = Math.min(claims[at]!, level);
      state.entitled = state.part + spare;
    }
  }

  /**
   * The owner of a part waits for free slots and for releases. Owners with a
   * shorter wait come first, so their missing slots count for the others too.
   */
  private setReserves(classes: readonly ClassState[], idle: number): void {
    const owners = classes
      .map(state => {
        const wanted = Math.max(idle, state.expected.slots);
        const missing = Math.min(state.part, wanted) - state.running;
        return {state, waitMs: waitOf(state), missing: Math.max(0, missing)};
      })
      .sort((a, b) => a.waitMs - b.waitMs);
    for (const {state} of owners) state.reserve = 0;
    let missing = 0;
    for (const owner of owners) {
      missing += owner.missing;
      const released = releases(classes, owner.waitMs);
      if (missing <= released) continue;
      for (const {state, waitMs, missing: own} of owners) {
        if (state === owner.state) continue;
        const isCounted = waitMs <= owner.waitMs;
        const reserve = missing - (isCounted ? own : 0) - released;
        state.reserve = Math.max(state.reserve, Math.round(reserve));
      }
    }
  }

  private setTenantLevel(
    state: ClassState,
    windowMs: number,
    now: number,
  ): void {
    state.overQuota = this.limits.heldBack(state);
    state.tenantLevel = Infinity;
    if (state.waiting.length === 0 || state.tenants.size < 2) return;
    const demands: number[] = [];
    for (const tenant of state.tenants.values()) {
      demands.push(tenant.running + tenant.live);
    }
    state.tenantLevel = maxMinLevel(demands, state.entitled);
    for (const {credit, running, live} of state.tenants.values()) {
      const part = Math.min(state.tenantLevel, running + live);
      credit.note(part, windowMs, now);
    }
  }
}

function windowOf(classes: readonly ClassState[]): number {
  let target = MAX_WINDOW_MS / WINDOW_SHARE;
  for (const {live, running, config} of classes) {
    if (live + running > 0) target = Math.min(target, config.target_ms);
  }
  return Math.max(MIN_WINDOW_MS, WINDOW_SHARE * target);
}

/** Slots that are expected to be released within the time. */
function releases(classes: readonly ClassState[], waitMs: number): number {
  let sum = 0;
  for (const {running, runtimes} of classes) {
    // Tasks whose run time is unknown are not expected to end soon.
    if (running === 0 || runtimes.isEmpty) continue;
    sum += running * (1 - Math.exp(-waitMs / runtimes.meanRest));
  }
  return sum;
}

/** Wait in milliseconds that leaves the class time to meet its target. */
function waitOf({config, runtimes}: ClassState): number {
  const runMs = runtimes.isEmpty ? 0 : runtimes.quantile(RUN_QUANTILE);
  const waitMs = WAIT_SHARE * (config.target_ms - runMs);
  return Math.max(MIN_WAIT_SHARE * config.target_ms, waitMs);
}
