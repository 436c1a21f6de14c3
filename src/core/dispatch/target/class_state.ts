import type {ClassConfig} from '../../config/class_config.js';
import type {QueuedTask} from '../queued_task.js';
import {DemandEstimate} from './demand_estimate.js';
import {DueCounts} from './due_counts.js';
import type {JobPick} from './job_pick.js';
import {QuantileSketch} from './quantile_sketch.js';
import {SlotCredit} from './slot_credit.js';
import {TenantState} from './tenant_state.js';

/** Assumed run time before the first one was seen. */
const DEFAULT_RUN_MS = 250;
/** Weight of one task in the share of queued tasks that get cancelled. */
const DISCARD_WEIGHT = 0.002;
/** Never expects more than this share of the queue to be cancelled. */
const MAX_DISCARD_SHARE = 0.9;

/** The work of one class: its queues, its slots and what was learnt of it. */
export class ClassState {
  /** Run times of tasks in milliseconds. */
  readonly runtimes = new QuantileSketch(DEFAULT_RUN_MS);
  readonly dues: DueCounts;
  readonly expected = new DemandEstimate();
  readonly credit = new SlotCredit();
  readonly tenants = new Map<string, TenantState>();
  /** Tenants with waiting tasks, in no particular order. */
  readonly waiting: TenantState[] = [];
  /** Slots held. */
  running = 0;
  /** Waiting tasks without removed ones. */
  live = 0;
  /** Waiting tasks that lacked a fitting worker in the last search. */
  blocked = 0;
  /** Waiting tasks that their tenant's quota holds back. */
  overQuota = 0;
  /** Slots that max-min fairness gives the class now. */
  part = 0;
  /** Slots that the class could have if it had endless demand. */
  entitled = 0;
  /** Free slots that the class must leave when it borrows. */
  reserve = 0;
  /** Slots that each tenant may hold before the others come first. */
  tenantLevel = Infinity;
  /** The job to serve next; dropped when it may have changed. */
  pick: JobPick | undefined;
  /** What the order of jobs needs, brought up to date for each search. */
  readonly plan = {msPerTask: 0, slackMs: 0, validUntil: 0};
  private discardShare = 0;

  constructor(public config: ClassConfig) {
    this.dues = new DueCounts(config.target_ms);
  }

  get name(): string {
    return this.config.name;
  }

  /** Slots in use and wanted, without work that nothing could run now. */
  get demand(): number {
    return (
      this.running + Math.max(0, this.live - this.blocked - this.overQuota)
    );
  }

  /** Share of the waiting tasks that are expected to reach a start. */
  get startShare(): number {
    return 1 - Math.min(MAX_DISCARD_SHARE, this.discardShare);
  }

  tenant(name: string): TenantState {
    let tenant = this.tenants.get(name);
    if (!tenant) {
      tenant = new TenantState(name);
      this.tenants.set(name, tenant);
    }
    return tenant;
  }

  push(task: QueuedTask, dueOf: () => number): void {
    const tenant = this.tenant(task.tenant);
    this.dues.add(tenant.push(task, dueOf), 1);
    this.live += 1;
    this.pick = undefined;
    if (tenant.waitingAt >= 0) return;
    tenant.waitingAt = this.waiting.push(tenant) - 1;
  }

  removed(task: QueuedTask): void {
    const tenant = this.tenants.get(task.tenant);
    if (!tenant) return;
    const due = tenant.removed(task);
    if (due === undefined) return;
    this.dues.add(due, -1);
    this.live -= 1;
    this.discardShare += DISCARD_WEIGHT * (1 - this.discardShare);
    this.pick = undefined;
    this.leaveIfDone(tenant);
  }

  /** Takes the picked task out of the queue. */
  take({tenant, queue, entry}: JobPick, task: QueuedTask): void {
    queue.take(entry);
    tenant.taken(task, queue);
    this.dues.add(entry.due, -1);
    this.live -= 1;
    this.discardShare -= DISCARD_WEIGHT * this.discardShare;
    this.pick = undefined;
    this.leaveIfDone(tenant);
  }

  occupy(name: string, now: number): void {
    const tenant = this.tenant(name);
    tenant.running += 1;
    tenant.credit.hold(tenant.running, now);
    this.running += 1;
    this.credit.hold(this.running, now);
    this.pick = undefined;
  }

  release(name: string, now: number): void {
    const tenant = this.tenant(name);
    tenant.running -= 1;
    tenant.credit.hold(tenant.running, now);
    this.running -= 1;
    this.credit.hold(this.running, now);
    this.pick = undefined;
    if (tenant.isIdle) this.tenants.delete(name);
  }

  private leaveIfDone(tenant: TenantState): void {
    if (tenant.live > 0 || tenant.waitingAt < 0) return;
    const last = this.waiting.pop()!;
    if (last !== tenant) {
      this.waiting[tenant.waitingAt] = last;
      last.waitingAt = tenant.waitingAt;
    }
    tenant.waitingAt = -1;
  }
}
