import type {RandomSource} from '../../random/random_source.js';
import type {JobSpec} from '../../job/job_spec.js';
import type {Admission} from '../admission.js';
import type {ClassState} from './class_state.js';
import type {LagMonitor} from './lag_monitor.js';
import type {TenantQuotas} from './tenant_quotas.js';

/** Share of the time between run time and target that a job may wait. */
const WAIT_SHARE = 0.8;
/** Smallest permitted wait, as a share of the target. */
const MIN_WAIT_SHARE = 0.1;
const RUN_QUANTILE = 0.95;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 60_000;
/** Retry delays are randomly extended by up to this share. */
const JITTER = 0.5;

interface AdmissionControllerOptions {
  readonly quotas: TenantQuotas;
  readonly lag: LagMonitor;
  readonly random: RandomSource;
}

/**
 * Refuses new jobs of a class that exceeds its fair share if their predicted
 * wait would make them miss the target. This bounds the queue by the time that
 * its tasks take, not by their number.
 */
export class AdmissionController {
  /** Epoch ms up to which retries of refused jobs are scheduled, by class. */
  private readonly retriesScheduledUntil = new Map<string, number>();

  constructor(private readonly opts: AdmissionControllerOptions) {}

  /** `dueTime` determines which queued tasks are served before the job. */
  admit(
    job: JobSpec,
    state: ClassState,
    dueTime: number,
    now: number,
  ): Admission {
    const {lag} = this.opts;
    if (lag.isOverloaded && lag.hasAboveAverageLoad(state.name)) {
      return this.refuse(
        job,
        state,
        lag.lagMs,
        'the dispatcher is overloaded',
        now,
      );
    }
    const excess =
      this.predictWaitMs(job, state, dueTime) - getWaitBudgetMs(state);
    if (excess <= 0) {
      lag.recordAdmitted(state.name, job.tasks.length, now);
      return {admitted: true};
    }
    const detail =
      `class "${state.name}" exceeds its fair share and the job would wait ` +
      `too long for the target of ${state.config.target_ms} ms`;
    return this.refuse(job, state, excess, detail, now);
  }

  reset(): void {
    this.retriesScheduledUntil.clear();
  }

  /**
   * Predicted wait of a new job, in ms; 0 for a class or a tenant within its
   * fair share, because its tasks are served before those of the others.
   */
  private predictWaitMs(
    job: JobSpec,
    state: ClassState,
    dueTime: number,
  ): number {
    const {quotas} = this.opts;
    const tenant = state.tenants.get(job.tenant);
    const held = tenant ? tenant.running + tenant.queued : 0;
    const quota = quotas.getQuota(job.tenant);
    const perTaskMs = state.runTimes.mean * state.startShare;
    const own = tenant?.queued ?? 0;
    const ownWait = (slots: number) => (own * perTaskMs) / Math.max(1, slots);
    if (held >= quota) return ownWait(Math.min(quota, state.entitledSlots));
    if (state.running + state.queued < state.entitledSlots) return 0;
    const ahead = state.dueTimes.countDueBy(dueTime);
    const classWait = (ahead * perTaskMs) / Math.max(1, state.entitledSlots);
    if (state.tenantFairShare === Infinity) return classWait;
    if (held < state.tenantFairShare) return 0;
    return Math.min(classWait, ownWait(state.tenantFairShare));
  }

  /**
   * Schedules the retry after those of the jobs refused before, so that
   * retries arrive no faster than the class can be served.
   */
  private refuse(
    job: JobSpec,
    state: ClassState,
    waitMs: number,
    detail: string,
    now: number,
  ): Admission {
    const workMs =
      (job.tasks.length * state.runTimes.mean * state.startShare) /
      Math.max(1, state.entitledSlots);
    const from = Math.max(
      now + waitMs,
      this.retriesScheduledUntil.get(state.name) ?? 0,
    );
    this.retriesScheduledUntil.set(
      state.name,
      Math.min(from + workMs, now + MAX_RETRY_MS),
    );
    const delay = Math.max(MIN_RETRY_MS, from - now);
    const jitter = 1 + JITTER * this.opts.random.next();
    return {
      admitted: false,
      detail,
      retryAfterMs: Math.ceil(Math.min(MAX_RETRY_MS, delay) * jitter),
    };
  }
}

/** Time in ms that a task may wait and still meet the target of its class. */
function getWaitBudgetMs({config, runTimes}: ClassState): number {
  const slackMs = config.target_ms - runTimes.quantile(RUN_QUANTILE);
  return Math.max(MIN_WAIT_SHARE * config.target_ms, WAIT_SHARE * slackMs);
}
