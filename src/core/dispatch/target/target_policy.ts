import type {ClassConfig} from '../../config/class_config.js';
import type {ConfigSource} from '../../config/config_source.js';
import type {AttemptOutcome} from '../../job/attempt_outcome.js';
import type {JobSpec} from '../../job/job_spec.js';
import type {RandomSource} from '../../random/random_source.js';
import type {RunningAttempt} from '../../worker/running_attempt.js';
import {WorkerHealth} from '../../worker/worker_health.js';
import type {Admission} from '../admission.js';
import type {Assignment} from '../assignment.js';
import {DispatchPolicy} from '../dispatch_policy.js';
import type {FleetView} from '../fleet_view.js';
import type {QueuedTask} from '../queued_task.js';
import {AdmissionManager} from './admission_manager.js';
import {ClassState} from './class_state.js';
import type {JobPick} from './job_pick.js';
import {JobOrder} from './job_order.js';
import {LagMeter} from './lag_meter.js';
import {ShareManager} from './share_manager.js';
import {TenantLimits} from './tenant_limits.js';
import {WorkerSelector} from './worker_selector.js';

interface TargetPolicyOptions {
  readonly config: ConfigSource;
  readonly random: RandomSource;
  /** Zone whose workers come first. Default: all zones are equal. */
  readonly zone?: string;
}

/**
 * Serves the task with the least slack to its class's target, within parts of
 * the fleet that are max-min fair. See section 3.5 of the design.
 */
export class TargetPolicy extends DispatchPolicy {
  private readonly classes = new Map<string, ClassState>();
  private states: ClassState[] = [];
  /** Attempts that hold a slot, with the class that they were counted in. */
  private readonly held = new Map<RunningAttempt, ClassState | undefined>();
  private readonly limits: TenantLimits;
  private readonly shares: ShareManager;
  private readonly order: JobOrder;
  private readonly health = new WorkerHealth();
  private readonly selector: WorkerSelector;
  private readonly lag = new LagMeter();
  private readonly admission: AdmissionManager;
  private live = 0;
  private fleetSize = 0;
  /** Number of the search for tasks to start; it ends when none fits. */
  private search = 0;
  private isSearching = false;

  constructor({config, random, zone}: TargetPolicyOptions) {
    super();
    this.limits = new TenantLimits(config);
    this.shares = new ShareManager(this.limits);
    this.order = new JobOrder(this.limits);
    this.selector = new WorkerSelector(this.health, zone);
    const {limits, lag} = this;
    this.admission = new AdmissionManager({limits, lag, random});
    const configure = (classes: Readonly<Record<string, ClassConfig>>) => {
      // A class without any work yet has a part as well.
      for (const settings of Object.values(classes)) this.stateOf(settings);
      for (const [name, state] of this.classes) {
        if (classes[name] || state.live + state.running > 0) continue;
        this.classes.delete(name);
      }
      this.states = [...this.classes.values()];
    };
    configure(config.current().classes);
    config.onChange(({classes}) => configure(classes));
  }

  override get queued(): number {
    return this.live;
  }

  /** Slots that the class holds, over all tenants. */
  getRunning(className: string): number {
    return this.classes.get(className)?.running ?? 0;
  }

  /** Learned mean run time of the class's tasks in milliseconds. */
  getMeanRunMs(className: string): number | undefined {
    return this.classes.get(className)?.runtimes.mean;
  }

  override recordLag(lagMs: number): void {
    this.lag.note(lagMs);
  }

  override admit(
    job: JobSpec,
    config: ClassConfig,
    fleet: FleetView,
    now: number,
  ): Admission {
    const state = this.stateOf(config);
    this.shares.refresh(this.states, fleet, now);
    const due = this.order.dueOf(job.tasks.length, job.submittedAt, state);
    return this.admission.admit(job, state, due, now);
  }

  override enqueue(task: QueuedTask): void {
    const state = this.stateOf(task.config);
    state.push(task, () => {
      return this.order.dueOf(task.jobSize, task.submittedAt, state);
    });
    this.live += 1;
  }

  override discarded(task: QueuedTask): void {
    this.live -= 1;
    this.classes.get(task.className)?.removed(task);
  }

  override next(fleet: FleetView, now: number): Assignment | undefined {
    if (!this.isSearching) this.beginSearch(fleet, now);
    while (fleet.freeSlots > 0) {
      const state = this.chooseClass(fleet, now);
      const pick = state?.pick;
      const task = pick?.entry.peek();
      if (!state || !pick || !task) break;
      const {worker, lacksRoom} = this.selector.select(task, fleet, now);
      if (worker) {
        state.take(pick, task);
        this.live -= 1;
        return {task, worker};
      }
      pick.queue.blockedIn = this.search;
      if (lacksRoom) state.blocked += pick.queue.live;
      state.pick = undefined;
    }
    this.isSearching = false;
    return undefined;
  }

  override started(attempt: RunningAttempt, now: number): void {
    if (this.held.has(attempt)) return;
    const state = this.classes.get(attempt.className);
    this.held.set(attempt, state);
    this.limits.occupy(attempt.tenant);
    state?.occupy(attempt.tenant, now);
    this.health.started(attempt);
  }

  override ended(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    now: number,
  ): void {
    const state = this.held.get(attempt);
    if (!this.held.delete(attempt)) return;
    this.limits.release(attempt.tenant);
    if (!state) return;
    state.release(attempt.tenant, now);
    const {runtimes} = state;
    const meanMs = runtimes.mean;
    if (outcome.kind === 'succeeded') runtimes.record(now - attempt.since);
    this.health.ended(attempt, outcome, meanMs, this.fleetSize, now);
  }

  override reset(): void {
    this.live = 0;
    this.held.clear();
    this.limits.reset();
    this.health.reset();
    this.lag.reset();
    this.shares.reset();
    this.admission.reset();
    this.isSearching = false;
    for (const [name, state] of this.classes) {
      this.classes.set(name, new ClassState(state.config));
    }
    this.states = [...this.classes.values()];
  }

  private beginSearch(fleet: FleetView, now: number): void {
    this.isSearching = true;
    this.search += 1;
    this.fleetSize = fleet.totalWorkers;
    this.order.resize(fleet.totalSlots);
    this.shares.refresh(this.states, fleet, now);
    for (const state of this.states) {
      state.blocked = 0;
      state.pick = undefined;
      if (state.live > 0) this.order.plan(state, now);
    }
  }

  /** Classes within their part come first, then those that may borrow. */
  private chooseClass(fleet: FleetView, now: number): ClassState | undefined {
    let best: ClassState | undefined;
    let bestPick: JobPick | undefined;
    let isBestWithin = false;
    for (const state of this.states) {
      if (state.live === 0) continue;
      // A class may always hold one slot, even where there are few slots.
      const isBorrowing = state.running >= Math.max(1, Math.floor(state.part));
      if (isBorrowing && fleet.freeSlots <= state.reserve) continue;
      const isWithin = !isBorrowing || !state.credit.isExhausted;
      if (!isWithin && isBestWithin) continue;
      state.pick ??= this.order.pick(state, this.search, now);
      const {pick} = state;
      if (!pick) continue;
      const isBetter =
        !bestPick ||
        (isWithin && !isBestWithin) ||
        pick.urgency < bestPick.urgency;
      if (!isBetter) continue;
      best = state;
      bestPick = pick;
      isBestWithin = isWithin;
    }
    return best;
  }

  private stateOf(config: ClassConfig): ClassState {
    const known = this.classes.get(config.name);
    if (known) {
      known.config = config;
      return known;
    }
    const state = new ClassState(config);
    this.classes.set(config.name, state);
    this.states.push(state);
    return state;
  }
}
