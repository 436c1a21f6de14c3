import type {ClassConfig} from '../../config/class_config.js';
import type {QueuedTask} from '../queued_task.js';
import {BurstCredit} from './burst_credit.js';
import {DemandEstimator} from './demand_estimator.js';
import {DueTimeHistogram} from './due_time_histogram.js';
import type {NextJob} from './next_job.js';
import {QuantileSketch} from './quantile_sketch.js';
import {TenantState} from './tenant_state.js';

/** Run time that is assumed until the first task has ended. */
const DEFAULT_RUN_MS = 250;
/** Weight of one task in the moving average of the cancelled share. */
const CANCELLATION_WEIGHT = 0.002;
/** Upper limit of the share of queued tasks expected to be cancelled. */
const MAX_CANCELLED_SHARE = 0.9;

/** Queues, slot usage and learned statistics of one class. */
export class ClassState {
  /** Run times of tasks in milliseconds. */
  readonly runTimes = new QuantileSketch(DEFAULT_RUN_MS);
  readonly dueTimes: DueTimeHistogram;
  readonly estimator = new DemandEstimator();
  readonly burstCredit = new BurstCredit();
  readonly tenants = new Map<string, TenantState>();
  /** Tenants with queued tasks, in no particular order. */
  readonly waitingTenants: TenantState[] = [];
  /** Number of slots that the class holds. */
  running = 0;
  /** Number of queued tasks, without removed ones. */
  queued = 0;
  /** Queued tasks for which the last search found no worker with capacity. */
  blocked = 0;
  /** Queued tasks that exceed the quotas of their tenants. */
  overQuota = 0;
  /** Number of slots that max-min fairness allocates to the class. */
  fairShare = 0;
  /** Fair share of the class plus the slots that no class claims. */
  entitledSlots = 0;
  /** Number of free slots that the class must leave when it borrows. */
  reservedForOthers = 0;
  /** Slots above which a tenant yields to others; Infinity without a limit. */
  tenantFairShare = Infinity;
  /** Cached next job to serve; undefined after any change to the queue. */
  nextJob: NextJob | undefined;
  /** Cached parameters of {@link JobOrder}. */
  readonly orderParams = {msPerTask: 0, slackMs: 0, validUntil: 0};
  private cancelledShare = 0;

  constructor(public config: ClassConfig) {
    this.dueTimes = new DueTimeHistogram(config.target_ms);
  }

  get name(): string {
    return this.config.name;
  }

  /** Slots held plus queued tasks, without those that cannot start now. */
  get demand(): number {
    return (
      this.running + Math.max(0, this.queued - this.blocked - this.overQuota)
    );
  }

  /** Share of the queued tasks that are expected to start. */
  get startShare(): number {
    return 1 - Math.min(MAX_CANCELLED_SHARE, this.cancelledShare);
  }

  tenant(name: string): TenantState {
    let tenant = this.tenants.get(name);
    if (!tenant) {
      tenant = new TenantState(name);
      this.tenants.set(name, tenant);
    }
    return tenant;
  }

  push(task: QueuedTask, getDueTime: () => number): void {
    const tenant = this.tenant(task.tenant);
    this.dueTimes.add(tenant.push(task, getDueTime), 1);
    this.queued += 1;
    this.nextJob = undefined;
    if (tenant.waitingIndex >= 0) return;
    tenant.waitingIndex = this.waitingTenants.push(tenant) - 1;
  }

  /** Updates the counts after a queued task was marked as `removed`. */
  removed(task: QueuedTask): void {
    const tenant = this.tenants.get(task.tenant);
    if (!tenant) return;
    const dueTime = tenant.removed(task);
    if (dueTime === undefined) return;
    this.dueTimes.add(dueTime, -1);
    this.queued -= 1;
    this.cancelledShare += CANCELLATION_WEIGHT * (1 - this.cancelledShare);
    this.nextJob = undefined;
    this.removeIfDrained(tenant);
  }

  /** Takes a task of the selected job out of its queue. */
  take({tenant, queue, entry}: NextJob, task: QueuedTask): void {
    queue.take(entry);
    tenant.taken(task, queue);
    this.dueTimes.add(entry.dueTime, -1);
    this.queued -= 1;
    this.cancelledShare -= CANCELLATION_WEIGHT * this.cancelledShare;
    this.nextJob = undefined;
    this.removeIfDrained(tenant);
  }

  occupy(name: string, now: number): void {
    const tenant = this.tenant(name);
    tenant.running += 1;
    tenant.burstCredit.recordUsage(tenant.running, now);
    this.running += 1;
    this.burstCredit.recordUsage(this.running, now);
    this.nextJob = undefined;
  }

  release(name: string, now: number): void {
    const tenant = this.tenant(name);
    tenant.running -= 1;
    tenant.burstCredit.recordUsage(tenant.running, now);
    this.running -= 1;
    this.burstCredit.recordUsage(this.running, now);
    this.nextJob = undefined;
    if (tenant.isIdle) this.tenants.delete(name);
  }

  private removeIfDrained(tenant: TenantState): void {
    if (tenant.queued > 0 || tenant.waitingIndex < 0) return;
    const last = this.waitingTenants.pop()!;
    if (last !== tenant) {
      this.waitingTenants[tenant.waitingIndex] = last;
      last.waitingIndex = tenant.waitingIndex;
    }
    tenant.waitingIndex = -1;
  }
}
