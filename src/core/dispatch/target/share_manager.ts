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
/**
 * Parts hold on average over this share of the shortest target with demand.
 * Parts that hold at every moment make small jobs of one class wait for a
 * large job of another, although the fleet is not full for long.
 */
const WINDOW_SHARE = 0.5;
const MIN_WINDOW_MS = 50;
const MAX_WINDOW_MS = 2_000;

/**
 * Divides the slots among the classes and, inside a class, among the tenants.
 * A class may borrow beyond its part as long as the slots that others are
 * expected to want are free, or are expected to be released in time.
 */
export class ShareManager {
  private nextTenants = 0;

  constructor(private readonly limits: TenantLimits) {}

  refresh(
    classes: readonly ClassState[],
    {totalSlots, freeSlots}: FleetView,
    now: number,
  ): void {
    const idle = (IDLE_SHARE * totalSlots) / Math.max(1, classes.length);
    const claims = classes.map(state => {
      const {demand} = state;
      state.expected.note(demand, now);
      return Math.max(demand, state.expected.slots, idle);
    });
    const level = maxMinLevel(claims, totalSlots);
    const windowMs = windowOf(classes);
    let given = 0;
    classes.forEach((state, at) => {
      state.part = Math.min(claims[at]!, level);
      state.credit.note(state.part, state.running, windowMs, now);
      given += state.part;
    });
    const spare = Math.max(0, totalSlots - given);
    for (const state of classes) state.entitled = state.part + spare;
    if (freeSlots > 0) this.setReserves(classes, idle);
    if (now >= this.nextTenants) {
      this.nextTenants = now + TENANT_INTERVAL_MS;
      for (const state of classes) this.setTenantLevel(state, windowMs, now);
    }
  }

  private setReserves(classes: readonly ClassState[], idle: number): void {
    for (const state of classes) state.reserve = 0;
    const owners = classes
      .map(state => ({state, waitMs: waitOf(state), missing: 0}))
      .sort((a, b) => a.waitMs - b.waitMs);
    for (const owner of owners) {
      const {state} = owner;
      const wanted = Math.max(idle, state.expected.slots);
      owner.missing = Math.max(0, Math.min(state.part, wanted) - state.running);
    }
    for (const {state} of owners) {
      let missing = 0;
      for (const owner of owners) {
        if (owner.state === state) continue;
        missing += owner.missing;
        const reserve = missing - releases(classes, owner.waitMs);
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
      credit.note(part, running, windowMs, now);
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
