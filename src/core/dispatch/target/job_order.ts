import type {ClassState} from './class_state.js';
import type {JobEntry} from './job_entry.js';
import type {NextJob} from './next_job.js';
import type {TenantQuotas} from './tenant_quotas.js';

/**
 * The due time of a job is its submission time plus this multiple of the time
 * that it takes on an idle fleet. Small jobs then overtake large ones, whose
 * response time grows little in proportion.
 */
const DUE_FACTOR = 10;
/**
 * A job takes precedence as soon as less than this share of the target remains
 * before its latest start time.
 */
const RISK_SHARE = 0.3;
/**
 * A job takes precedence only if it occupies the fleet for less than this share
 * of the target, because it delays the others for that time. Precedence for
 * larger jobs makes more jobs miss the target than it saves.
 */
const RISK_COST_SHARE = 0.01;
/** Learned run times change slowly, so older parameters are accurate enough. */
const PARAMS_INTERVAL_MS = 5;
/** Quantile of the run time that is subtracted for the latest start time. */
const RUN_QUANTILE = 0.95;

/**
 * Orders the jobs of a class and makes them comparable between classes. A job
 * that is about to miss its target goes first, by slack, unless it is so large
 * that it would make many others miss theirs. The other jobs are served by due
 * time, which puts the longest wait in proportion to the expected run time
 * first.
 */
export class JobOrder {
  private totalSlots = 1;

  constructor(private readonly quotas: TenantQuotas) {}

  /** Sets the number of slots over which a job can spread. */
  setTotalSlots(totalSlots: number): void {
    this.totalSlots = Math.max(1, totalSlots);
  }

  /** Due time of a job in epoch milliseconds. */
  getDueTime(jobSize: number, submittedAt: number, state: ClassState): number {
    const {runTimes} = state;
    // The longest of n tasks is approximately at the quantile n / (n + 1).
    const longest = runTimes.quantile(jobSize / (jobSize + 1));
    const spread = (jobSize * runTimes.mean) / this.totalSlots;
    return submittedAt + DUE_FACTOR * (longest + spread);
  }

  /** Recomputes the cached parameters of a class if they are out of date. */
  refreshParams(
    {runTimes, config, orderParams}: ClassState,
    now: number,
  ): void {
    if (now < orderParams.validUntil) return;
    orderParams.validUntil = now + PARAMS_INTERVAL_MS;
    const target = config.target_ms;
    orderParams.msPerTask = runTimes.mean / this.totalSlots;
    orderParams.slackMs =
      target - Math.min(target, runTimes.quantile(RUN_QUANTILE));
  }

  /**
   * Next job of the class to serve; undefined if all its tenants have reached
   * their quotas or no worker has capacity for its tasks.
   */
  selectNext(
    state: ClassState,
    searchId: number,
    now: number,
  ): NextJob | undefined {
    let best: NextJob | undefined;
    let bestRank = Infinity;
    for (const tenant of state.waitingTenants) {
      if (this.quotas.getRemainingSlots(tenant.name) <= 0) continue;
      // Tenants within their fair share go first, then those with least excess.
      const excess = tenant.burstCredit.isExhausted
        ? Math.max(0, tenant.running + 1 - state.tenantFairShare)
        : 0;
      for (const queue of tenant.queues.values()) {
        if (queue.blockedInSearch === searchId) continue;
        const {oldest, earliest} = queue;
        if (!oldest || !earliest) continue;
        const oldestRisk = getAtRiskUrgency(oldest, state, now);
        const risk = oldestRisk ?? getAtRiskUrgency(earliest, state, now);
        const urgency = risk ?? earliest.dueTime;
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

/** Both weights exceed any difference between times in milliseconds. */
const RISK_WEIGHT = 1e8;
const FAIRNESS_WEIGHT = 1e10;

/**
 * Urgency of a job that is about to miss its target but can still meet it;
 * undefined for all other jobs.
 */
function getAtRiskUrgency(
  {queued, submittedAt}: JobEntry,
  {config, orderParams}: ClassState,
  now: number,
): number | undefined {
  const {target_ms: target} = config;
  const costMs = queued * orderParams.msPerTask;
  if (queued > 1 && costMs > RISK_COST_SHARE * target) return undefined;
  if (now >= submittedAt + target) return undefined;
  const latest = submittedAt + orderParams.slackMs - costMs;
  if (latest - RISK_SHARE * target > now) return undefined;
  return latest - RISK_WEIGHT;
}
