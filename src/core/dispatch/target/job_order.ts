import type {ClassState} from './class_state.js';
import type {JobEntry} from './job_entry.js';
import type {JobPick} from './job_pick.js';
import type {TenantLimits} from './tenant_limits.js';

/**
 * A job is due after this many times the time it needs alone. Small jobs then
 * pass large ones, which lose little in proportion.
 */
const DUE_FACTOR = 10;
/** Share of the target before the latest start from which a job goes first. */
const RISK_SHARE = 0.3;
/**
 * A job goes first only if the fleet needs less than this share of the target
 * for it, which is how long it delays the others. Letting larger ones pass made
 * more jobs miss the target than it saved.
 */
const RISK_COST_SHARE = 0.01;
/** Learned run times move slowly, so that a plan need not be newer. */
const PLAN_INTERVAL_MS = 5;
/** Run time that a job's latest start allows for. */
const RUN_QUANTILE = 0.95;

/**
 * Orders the jobs of a class and makes them comparable between classes. A job
 * that would soon miss its target goes first, by its slack, unless it is so
 * large that it would make many others miss theirs. Among the other jobs, the
 * one whose wait is longest in proportion to the time it needs goes first.
 */
export class JobOrder {
  private slots = 1;

  constructor(private readonly limits: TenantLimits) {}

  /** Tells how many slots a job can spread over. */
  resize(totalSlots: number): void {
    this.slots = Math.max(1, totalSlots);
  }

  /** Epoch milliseconds at which the job is due. */
  dueOf(jobSize: number, submittedAt: number, state: ClassState): number {
    const {runtimes} = state;
    // The longest of n tasks lies about at this quantile.
    const longest = runtimes.quantile(jobSize / (jobSize + 1));
    const spread = (jobSize * runtimes.mean) / this.slots;
    return submittedAt + DUE_FACTOR * (longest + spread);
  }

  /** Brings what the order needs to know of a class up to date. */
  plan({runtimes, config, plan}: ClassState, now: number): void {
    if (now < plan.validUntil) return;
    plan.validUntil = now + PLAN_INTERVAL_MS;
    const target = config.target_ms;
    plan.msPerTask = runtimes.mean / this.slots;
    plan.slackMs = target - Math.min(target, runtimes.quantile(RUN_QUANTILE));
  }

  /** The job of the class to serve next, if a tenant may take a slot. */
  pick(state: ClassState, search: number, now: number): JobPick | undefined {
    let best: JobPick | undefined;
    let bestRank = Infinity;
    for (const tenant of state.waiting) {
      if (this.limits.roomOf(tenant.name) <= 0) continue;
      // Tenants within their part come first, then the least excess.
      const excess = tenant.credit.isExhausted
        ? Math.max(0, tenant.running + 1 - state.tenantLevel)
        : 0;
      for (const queue of tenant.queues.values()) {
        if (queue.blockedIn === search) continue;
        const {oldest, earliest} = queue;
        if (!oldest || !earliest) continue;
        const oldestRisk = riskOf(oldest, state, now);
        const risk = oldestRisk ?? riskOf(earliest, state, now);
        const urgency = risk ?? earliest.due;
        const rank = excess * FAIRNESS_WEIGHT + urgency - now;
        if (rank >= bestRank) continue;
        bestRank = rank;
        const entry = oldestRisk === undefined ? earliest : oldest;
        best = {tenant, queue, entry, urgency};
      }
    }
    return best;
  }
}

/** Exceed every difference of times in milliseconds. */
const RISK_WEIGHT = 1e8;
const FAIRNESS_WEIGHT = 1e10;

/** The urgency of a job that would soon miss its target but still can meet it. */
function riskOf(
  {live, submittedAt}: JobEntry,
  {config, plan}: ClassState,
  now: number,
): number | undefined {
  const {target_ms: target} = config;
  const costMs = live * plan.msPerTask;
  if (live > 1 && costMs > RISK_COST_SHARE * target) return undefined;
  if (now >= submittedAt + target) return undefined;
  const latest = submittedAt + plan.slackMs - costMs;
  if (latest - RISK_SHARE * target > now) return undefined;
  return latest - RISK_WEIGHT;
}
