import type {RandomSource} from '../../random/random_source.js';
import type {JobSpec} from '../../job/job_spec.js';
import type {Admission} from '../admission.js';
import type {ClassState} from './class_state.js';
import type {LagMeter} from './lag_meter.js';
import type {TenantLimits} from './tenant_limits.js';

/** Share of the time between run time and target that a queue may fill. */
const WAIT_SHARE = 0.8;
/** Smallest wait that is accepted, as a share of the target. */
const MIN_WAIT_SHARE = 0.1;
const RUN_QUANTILE = 0.95;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 60_000;
/** Retry times are spread by up to this share of the wait. */
const JITTER = 0.5;

interface AdmissionManagerOptions {
  readonly limits: TenantLimits;
  readonly lag: LagMeter;
  readonly random: RandomSource;
}

/**
 * Refuses new jobs of a class that is over its part when their predicted wait
 * would miss the target. The queue is thereby bounded in work, not in tasks.
 */
export class AdmissionManager {
  /** Epoch milliseconds up to which refused work has booked its return. */
  private readonly bookedUntil = new Map<string, number>();

  constructor(private readonly opts: AdmissionManagerOptions) {}

  /** `due` is the job's place in the order of its class. */
  admit(job: JobSpec, state: ClassState, due: number, now: number): Admission {
    const {lag} = this.opts;
    if (lag.isOverloaded && lag.isHeavy(state.name)) {
      return this.refuse(
        job,
        state,
        lag.lagMs,
        'the dispatcher is overloaded',
        now,
      );
    }
    const excess = this.waitMs(job, state, due) - budgetMs(state);
    if (excess <= 0) {
      lag.count(state.name, job.tasks.length, now);
      return {admitted: true};
    }
    const detail =
      `class "${state.name}" is over its part and its wait would miss the ` +
      `target of ${state.config.target_ms} ms`;
    return this.refuse(job, state, excess, detail, now);
  }

  reset(): void {
    this.bookedUntil.clear();
  }

  /**
   * Predicted wait in milliseconds of a new job; 0 for a class or a tenant
   * that is within its part, since its tasks go before those of others.
   */
  private waitMs(job: JobSpec, state: ClassState, due: number): number {
    const {limits} = this.opts;
    const tenant = state.tenants.get(job.tenant);
    const held = tenant ? tenant.running + tenant.live : 0;
    const quota = limits.quotaOf(job.tenant);
    const perTaskMs = state.runtimes.mean * state.startShare;
    const own = tenant?.live ?? 0;
    const ownWait = (slots: number) => (own * perTaskMs) / Math.max(1, slots);
    if (held >= quota) return ownWait(Math.min(quota, state.entitled));
    if (state.running + state.live < state.entitled) return 0;
    const ahead = state.dues.dueBy(due);
    const classWait = (ahead * perTaskMs) / Math.max(1, state.entitled);
    if (state.tenantLevel === Infinity) return classWait;
    if (held < state.tenantLevel) return 0;
    return Math.min(classWait, ownWait(state.tenantLevel));
  }

  /**
   * Refused work books a place after the work refused before it, so that its
   * return does not exceed what the class can be served.
   */
  private refuse(
    job: JobSpec,
    state: ClassState,
    waitMs: number,
    detail: string,
    now: number,
  ): Admission {
    const workMs =
      (job.tasks.length * state.runtimes.mean * state.startShare) /
      Math.max(1, state.entitled);
    const from = Math.max(now + waitMs, this.bookedUntil.get(state.name) ?? 0);
    this.bookedUntil.set(
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

function budgetMs({config, runtimes}: ClassState): number {
  const room = config.target_ms - runtimes.quantile(RUN_QUANTILE);
  return Math.max(MIN_WAIT_SHARE * config.target_ms, WAIT_SHARE * room);
}
