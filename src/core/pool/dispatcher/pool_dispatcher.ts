import type {LeasedWorker} from '../lease/leased_worker.js';
import type {LeaseListener} from '../lease/lease_listener.js';
import {CrashWatch} from '../crashes/crash_watch.js';
import {BacklogForecast} from '../admission/backlog_forecast.js';
import {InfeasibleJobs} from '../admission/infeasible_jobs.js';
import type {ActiveJob} from '../job/active_job.js';
import {JobIntake} from './job_intake.js';
import {LateJobs} from '../admission/late_jobs.js';
import {PoolJobs} from '../job/pool_jobs.js';
import {DispatcherLending} from '../lending/dispatcher_lending.js';
import {FailoverTiming} from '../node/failover_timing.js';
import {JobPrioritizer} from '../admission/job_prioritizer.js';
import type {PoolDispatcherOptions} from './pool_dispatcher_options.js';
import type {PoolSubmission} from '../job/pool_submission.js';
import type {Run} from '../lease/run.js';
import {RunEnd} from '../lease/run_end.js';
import type {RunLoss} from '../lease/run_loss.js';
import {RunRecorder} from './run_recorder.js';
import type {RunRefusal} from '../lease/run_refusal.js';
import {RunTrace} from '../trace/run_trace.js';
import {RunTimes} from '../placement/run_times.js';
import {DEFAULT_REMOTE_FACTOR} from '../placement/default_remote_factor.js';
import {StartableWorkers} from '../placement/startable_workers.js';
import {StragglerWatch} from '../placement/straggler_watch.js';
import {Takeover} from './takeover.js';
import {TaskStarter} from '../placement/task_starter.js';
import {WorkerFleet} from './worker_fleet.js';
import {WorkerCircuitBreaker} from '../placement/worker_circuit_breaker.js';

/** Run ends within this time share one pass; far shorter than any task. */
const PASS_INTERVAL_MS = 2;
const STRAGGLER_INTERVAL_MS = 60;

/**
 * Dispatches jobs for a fixed set of zones, as a leader, as the holder of a zone
 * or as a fallback: queues tasks, starts them on leased workers and answers each
 * job when it has ended.
 */
export class PoolDispatcher implements LeaseListener {
  readonly jobs: PoolJobs;
  private readonly workers: WorkerFleet;
  private readonly times = new RunTimes();
  private readonly breaker = new WorkerCircuitBreaker();
  private readonly priority = new JobPrioritizer(this.times);
  private readonly stragglers: StragglerWatch;
  private readonly starter: TaskStarter;
  private readonly startable: StartableWorkers;
  private readonly recorder: RunRecorder;
  private readonly trace: RunTrace;
  private readonly takeover: Takeover;
  private readonly crashes: CrashWatch;
  private readonly lending: DispatcherLending;
  private readonly intake: JobIntake;
  private readonly lateJobs: LateJobs;
  private currentToken: number;
  private isPassScheduled = false;
  private lastPassAt = Number.NEGATIVE_INFINITY;
  private nextStragglers = 0;
  private tickedAt: number;
  private isClosed = false;

  constructor(private readonly opts: PoolDispatcherOptions) {
    const now = opts.clock.now();
    this.tickedAt = now;
    this.jobs = new PoolJobs({
      ...opts,
      infeasible: new InfeasibleJobs(this.times),
    });
    this.currentToken = opts.token;
    const currentToken = () => this.currentToken;
    this.trace = new RunTrace(currentToken, opts.observer);
    const {times, breaker, trace} = this;
    const {remoteFactor = DEFAULT_REMOTE_FACTOR} = opts;
    const starts = {times, breaker, trace, remoteFactor};
    this.starter = new TaskStarter({...opts, ...starts});
    this.stragglers = new StragglerWatch({
      times,
      observer: opts.observer,
      remoteFactor,
      mayStartOn: (worker, at) =>
        worker.isUsable(at) && breaker.allows(worker, at),
    });
    this.recorder = new RunRecorder(times, breaker, opts.observer);
    this.crashes = new CrashWatch(opts);
    const leasesMs = opts.earlierLeasesMs;
    this.takeover = new Takeover({...opts, startedAt: now, leasesMs, trace});
    const forecast = new BacklogForecast(times);
    const {jobs, takeover, priority} = this;
    const known = {jobs, times, forecast, takeover};
    this.lending = new DispatcherLending({...known, lending: opts.lending});
    const onRemoved = (id: string) => {
      this.times.removeWorker(id);
      this.breaker.remove(id);
      opts.onWorkerRemoved?.(id);
    };
    this.startable = new StartableWorkers({...opts, forget: onRemoved});
    const {servesZone = () => true} = opts;
    const maySendOrders = (at: number) => this.maySendOrders(at);
    const rules = {currentToken, listener: this, servesZone, maySendOrders};
    const lease = {...opts, ...rules};
    this.workers = new WorkerFleet({...lease, onRemoved});
    const {workers, crashes, startable, lending} = this;
    const parts = {jobs, takeover, crashes, startable, workers, lending};
    this.intake = new JobIntake({...opts, ...parts});
    this.lateJobs = new LateJobs({...parts, priority, forecast});
    this.workers.tick(now);
  }

  get openJobs(): number {
    return this.jobs.size;
  }

  /** Current fencing token. */
  get token(): number {
    return this.currentToken;
  }

  /** Whether a worker has accepted a higher token than this dispatcher's. */
  get isOutranked(): boolean {
    return this.workers.all.some(w => w.isOutranked);
  }

  /** What this dispatcher offers to each of the others. */
  room(now: number) {
    const startable = this.startable.select(this.workers.all, now);
    return this.lending.room(this.jobs.all, startable, now);
  }

  /** Raises the token, so that workers of the contested zones accept it again. */
  raiseToken(token: number, contested: ReadonlySet<string>): void {
    this.currentToken = token;
    for (const worker of this.workers.all) {
      worker.onTokenRaised(contested.has(worker.report.zone));
    }
  }

  /**
   * Accepts or refuses a job; a known job is assigned to the new owner. See
   * `JobContact` for `contactAt`.
   */
  submit(owner: string, submission: PoolSubmission, contactAt?: number): void {
    const now = this.opts.clock.now();
    const known = this.jobs.get(submission.job.id);
    if (known) {
      this.trace.recordSentAgain(known, owner, now);
      known.assign(owner, contactAt);
      this.jobs.finishIfDone(known, now);
      this.schedulePass();
      return;
    }
    const receipt = {owner, token: this.token, contactAt, now};
    const job = this.intake.accept(submission, receipt);
    if (!job) return;
    this.jobs.finishIfDone(job, now);
    this.schedulePass();
  }

  /** Handles the news that an entry node no longer has a job, which may run. */
  recordUnclear(id: string, node: string): void {
    const job = this.jobs.get(id);
    if (job) this.trace.recordUnclear(job, node, this.opts.clock.now());
  }

  /** Abandons a job whose owner no longer waits for its answer. */
  drop(id: string, owner: string, reason: string): void {
    const job = this.jobs.get(id);
    if (!job || job.owner !== owner || job.isAbandoned) return;
    this.opts.observer.recordJobEvent('job_dropped', id, {owner, reason});
    this.jobs.abandon(job);
  }

  /** Cancels a job; returns false if it is not known. */
  cancel(id: string): boolean {
    const job = this.jobs.get(id);
    if (!job || job.isAbandoned) return false;
    this.opts.observer.recordJobEvent('job_cancelled', id, {owner: job.owner});
    this.opts.answer(job.owner, id, {kind: 'cancelled'});
    this.jobs.abandon(job);
    return true;
  }

  /** Records that the entry node of a job held its request at `at`. */
  recordContact(owner: string, id: string, at: number): void {
    const job = this.jobs.get(id);
    if (job?.owner !== owner || job.isAbandoned) return;
    job.contactAt = Math.max(job.contactAt, at);
  }

  has(id: string): boolean {
    const job = this.jobs.get(id);
    return job !== undefined && !job.isAbandoned;
  }

  /** Entry nodes whose jobs this dispatcher has. */
  get owners(): ReadonlySet<string> {
    return new Set([...this.jobs.all].map(job => job.owner));
  }

  /** Number of jobs of a queue without a started task. */
  pendingOf(queue: string): number {
    return this.jobs.pendingOf(queue);
  }

  /** Drops the jobs that their entry nodes may no longer hold. */
  dropJobs(isLost: (job: ActiveJob) => boolean): void {
    const started: string[] = [];
    for (const job of [...this.jobs.all]) {
      if (job.isAbandoned || !isLost(job)) continue;
      if (job.hasStarted || job.mayHaveRun) started.push(job.spec.id);
      this.drop(job.spec.id, job.owner, 'owner_silent');
    }
    if (started.length > 0) this.opts.onUnclear?.(started);
  }

  tick(now: number): void {
    if (this.isClosed) return;
    this.tickedAt = now;
    this.workers.tick(now);
    this.startable.tick(this.workers.all);
    this.takeover.stopUnclaimed(this.workers.all, now);
    if (now >= this.nextStragglers) {
      this.nextStragglers = now + STRAGGLER_INTERVAL_MS;
      this.times.observe(this.workers.all, now);
      this.stragglers.stopStragglers(this.jobs.all, this.workers.all, now);
    }
    this.jobs.expire(now);
    for (const job of this.crashes.resolve(this.workers.all, now)) {
      this.jobs.finishIfDone(job, now);
    }
    this.lateJobs.refuseIfDue(this.workers.all, now);
    this.schedulePass();
  }

  /** Stops dispatching; no more orders are sent. */
  close(): void {
    this.isClosed = true;
    const now = this.opts.clock.now();
    for (const job of this.jobs.all) this.trace.recordLeft(job, now);
    this.jobs.clear();
  }

  onWorkerLost(
    worker: LeasedWorker,
    runs: readonly Run[],
    loss: RunLoss,
  ): void {
    const started = this.jobs.tasksOf(runs.filter(r => !r.isStartRefused));
    this.crashes.record(worker.report, started, loss, this.opts.clock.now());
  }

  onRunEnded(
    worker: LeasedWorker,
    run: Run,
    how: RunEnd,
    loss: RunLoss | undefined,
  ): void {
    const {clock, observer} = this.opts;
    const now = clock.now();
    const task = this.jobs.taskOf(run.task);
    observer.incrementCounter(`run_${how}`);
    if (!task || task.run !== run) return this.schedulePass();
    task.run = undefined;
    task.worker = undefined;
    this.recorder.recordEnd({task, worker, run, how, loss}, now);
    task.state = how === RunEnd.done ? 'done' : 'waiting';
    if (how === RunEnd.failed) task.failures += 1;
    task.job.unblock();
    this.jobs.finishIfDone(task.job, now);
    this.schedulePass();
  }

  onRunRefused(worker: LeasedWorker, run: Run, reason: RunRefusal): void {
    const task = this.jobs.taskOf(run.task);
    this.opts.observer.incrementCounter(`start_refused_${reason}`);
    if (!task || task.run !== run) return;
    task.run = undefined;
    task.worker = undefined;
    task.state = 'waiting';
    const now = this.opts.clock.now();
    this.recorder.recordRefusal(task, worker, run, reason, now);
    this.jobs.finishIfDone(task.job, now);
    this.schedulePass();
  }

  onInheritedRunEnded(name: string, _run: number, how: RunEnd): void {
    const task = this.jobs.taskOf(name);
    if (!task) {
      this.takeover.recordEnd(name, how);
    } else if (how === RunEnd.done && !task.run && task.state === 'waiting') {
      task.state = 'done';
      this.trace.recordAdoptedEnd(task);
      task.job.unblock();
      this.jobs.finishIfDone(task.job, this.opts.clock.now());
    }
  }

  onStartUnanswered(worker: LeasedWorker, run: Run): void {
    this.trace.recordUnanswered(this.jobs.taskOf(run.task), worker, run);
  }

  onInheritedRun(worker: LeasedWorker, name: string, run: number): void {
    this.trace.recordInherited(this.jobs.taskOf(name), worker, run);
  }

  onChange(worker: LeasedWorker): void {
    const {report, isFenced, isOutranked, isSilent} = worker;
    const fields = {worker: report.id, isFenced, isOutranked, isSilent};
    this.opts.observer.recordStateChange('worker_changed', fields);
    this.schedulePass();
  }

  /**
   * While a tick is overdue, jobs of lost entry nodes may not have been dropped, and
   * each order would prolong the leases of their runs.
   */
  private maySendOrders(now: number): boolean {
    const isLate = now - this.tickedAt > FailoverTiming.MAX_TICK_GAP_MS;
    return !this.isClosed && !isLate && this.opts.maySendOrders(now);
  }

  private schedulePass(): void {
    if (this.isPassScheduled || this.isClosed) return;
    this.isPassScheduled = true;
    const {clock} = this.opts;
    const waitMs = this.lastPassAt + PASS_INTERVAL_MS - clock.now();
    clock.schedule(Math.max(0, waitMs), () => {
      this.isPassScheduled = false;
      this.lastPassAt = clock.now();
      if (!this.isClosed) this.pass(this.lastPassAt);
    });
  }

  /** Adopts inherited runs, then starts as many waiting tasks as fit. */
  private pass(now: number): void {
    if (!this.maySendOrders(now)) return;
    const jobs = [...this.jobs.all];
    for (const job of this.takeover.adopt(jobs, this.workers.all, now)) {
      job.unblock();
      this.jobs.finishIfDone(job, now);
    }
    const workers = this.workers.all;
    if (!this.takeover.mayStart(workers, now)) return;
    this.takeover.recordFirstStart(workers, now);
    this.takeover.settle(jobs, workers, now);
    const startable = this.startable.select(workers, now);
    const waiting = this.priority.sort(jobs, now);
    const staying = this.lending.moveLate(waiting, startable, now);
    this.starter.startAll(staying, startable, now);
  }
}
