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
import {AdmissionController} from './admission_controller.js';
import {ClassState} from './class_state.js';
import {FairShareAllocator} from './fair_share_allocator.js';
import {JobOrder} from './job_order.js';
import {LagMonitor} from './lag_monitor.js';
import type {NextJob} from './next_job.js';
import {TenantQuotas} from './tenant_quotas.js';
import {WorkerSelector} from './worker_selector.js';

interface TargetPolicyOptions {
  readonly config: ConfigSource;
  readonly random: RandomSource;
  /** Zone whose workers are preferred. Default: none. */
  readonly zone?: string;
}

/**
 * Serves the most urgent job with respect to the target of its class, within
 * max-min fair shares of the slots. See section 3.5 of the design.
 */
export class TargetPolicy extends DispatchPolicy {
  private readonly classes = new Map<string, ClassState>();
  private states: ClassState[] = [];
  /** Attempts that hold a slot, with the class to which they are charged. */
  private readonly slotHolders = new Map<
    RunningAttempt,
    ClassState | undefined
  >();
  private readonly quotas: TenantQuotas;
  private readonly shares: FairShareAllocator;
  private readonly order: JobOrder;
  private readonly health = new WorkerHealth();
  private readonly selector: WorkerSelector;
  private readonly lag = new LagMonitor();
  private readonly admission: AdmissionController;
  private queuedTasks = 0;
  private fleetSize = 0;
  /** Id of the current search; a search ends when no task can start. */
  private searchId = 0;
  private isSearching = false;

  constructor({config, random, zone}: TargetPolicyOptions) {
    super();
    this.quotas = new TenantQuotas(config);
    this.shares = new FairShareAllocator(this.quotas);
    this.order = new JobOrder(this.quotas);
    this.selector = new WorkerSelector(this.health, zone);
    const {quotas, lag} = this;
    this.admission = new AdmissionController({quotas, lag, random});
    const configure = (classes: Readonly<Record<string, ClassConfig>>) => {
      // Classes without any jobs yet are allocated slots as well.
      for (const settings of Object.values(classes)) this.getState(settings);
      for (const [name, state] of this.classes) {
        if (classes[name] || state.queued + state.running > 0) continue;
        this.classes.delete(name);
      }
      this.states = [...this.classes.values()];
    };
    configure(config.current().classes);
    config.onChange(({classes}) => configure(classes));
  }

  override get queued(): number {
    return this.queuedTasks;
  }

  /** Number of slots that the class holds. */
  getRunning(className: string): number {
    return this.classes.get(className)?.running ?? 0;
  }

  /** Mean run time of recent tasks of the class, in ms. */
  getMeanRunMs(className: string): number | undefined {
    return this.classes.get(className)?.runTimes.mean;
  }

  override recordLag(lagMs: number): void {
    this.lag.record(lagMs);
  }

  override admit(
    job: JobSpec,
    config: ClassConfig,
    fleet: FleetView,
    now: number,
  ): Admission {
    const state = this.getState(config);
    this.shares.refresh(this.states, fleet, now);
    const dueTime = this.order.getDueTime(
      job.tasks.length,
      job.submittedAt,
      state,
    );
    return this.admission.admit(job, state, dueTime, now);
  }

  override enqueue(task: QueuedTask): void {
    const state = this.getState(task.config);
    state.push(task, () => {
      return this.order.getDueTime(task.jobSize, task.submittedAt, state);
    });
    this.queuedTasks += 1;
  }

  override removed(task: QueuedTask): void {
    this.queuedTasks -= 1;
    this.classes.get(task.className)?.removed(task);
  }

  override next(fleet: FleetView, now: number): Assignment | undefined {
    if (!this.isSearching) this.beginSearch(fleet, now);
    while (fleet.freeSlots > 0) {
      const state = this.chooseClass(fleet, now);
      const nextJob = state?.nextJob;
      const task = nextJob?.entry.peek();
      if (!state || !nextJob || !task) break;
      const {worker, lacksCapacity} = this.selector.select(task, fleet, now);
      if (worker) {
        state.take(nextJob, task);
        this.queuedTasks -= 1;
        return {task, worker};
      }
      nextJob.queue.blockedInSearch = this.searchId;
      if (lacksCapacity) state.blocked += nextJob.queue.queued;
      state.nextJob = undefined;
    }
    this.isSearching = false;
    return undefined;
  }

  override started(attempt: RunningAttempt, now: number): void {
    if (this.slotHolders.has(attempt)) return;
    const state = this.classes.get(attempt.className);
    this.slotHolders.set(attempt, state);
    this.quotas.occupy(attempt.tenant);
    state?.occupy(attempt.tenant, now);
    this.health.started(attempt);
  }

  override ended(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    now: number,
  ): void {
    const state = this.slotHolders.get(attempt);
    if (!this.slotHolders.delete(attempt)) return;
    this.quotas.release(attempt.tenant);
    if (!state) return;
    state.release(attempt.tenant, now);
    const {runTimes} = state;
    const meanMs = runTimes.mean;
    if (outcome.kind === 'succeeded') runTimes.record(now - attempt.since);
    this.health.ended(attempt, outcome, meanMs, this.fleetSize, now);
  }

  override forgetWorker(worker: string): void {
    this.health.forget(worker);
  }

  override reset(): void {
    this.queuedTasks = 0;
    this.slotHolders.clear();
    this.quotas.reset();
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
    this.searchId += 1;
    this.fleetSize = fleet.totalWorkers;
    this.order.setTotalSlots(fleet.totalSlots);
    this.shares.refresh(this.states, fleet, now);
    for (const state of this.states) {
      state.blocked = 0;
      state.nextJob = undefined;
      if (state.queued > 0) this.order.refreshParams(state, now);
    }
  }

  /** Prefers classes within their fair share to those that borrow slots. */
  private chooseClass(fleet: FleetView, now: number): ClassState | undefined {
    let best: ClassState | undefined;
    let bestJob: NextJob | undefined;
    let isBestWithin = false;
    for (const state of this.states) {
      if (state.queued === 0) continue;
      // Each class may hold one slot, even if its fair share is below one.
      const isBorrowing =
        state.running >= Math.max(1, Math.floor(state.fairShare));
      if (isBorrowing && fleet.freeSlots <= state.reservedForOthers) continue;
      const isWithin = !isBorrowing || !state.burstCredit.isExhausted;
      if (!isWithin && isBestWithin) continue;
      state.nextJob ??= this.order.selectNext(state, this.searchId, now);
      const {nextJob} = state;
      if (!nextJob) continue;
      const isBetter =
        !bestJob ||
        (isWithin && !isBestWithin) ||
        nextJob.urgency < bestJob.urgency;
      if (!isBetter) continue;
      best = state;
      bestJob = nextJob;
      isBestWithin = isWithin;
    }
    return best;
  }

  private getState(config: ClassConfig): ClassState {
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
