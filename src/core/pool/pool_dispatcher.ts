import type {Clock} from '../clock/clock.js';
import type {RoutingTable} from '../routing/routing_table.js';
import type {LeasedWorker} from './leased_worker.js';
import type {LeaseListener} from './lease_listener.js';
import {BacklogForecast} from './backlog_forecast.js';
import {HopelessJobs} from './hopeless_jobs.js';
import type {PoolAnswer} from './pool_answer.js';
import {PoolEntry} from './pool_entry.js';
import {PoolJobs} from './pool_jobs.js';
import type {PoolObserver} from './pool_observer.js';
import {PoolAdmission} from './pool_admission.js';
import {PoolOrder} from './pool_order.js';
import type {PoolSubmission} from './pool_submission.js';
import type {Run} from './run.js';
import type {PoolTask} from './pool_task.js';
import {RunEnd} from './run_end.js';
import type {RunRefusal} from './run_refusal.js';
import {RunTimes} from './run_times.js';
import {StragglerWatch} from './straggler_watch.js';
import {Takeover} from './takeover.js';
import type {WorkerBook} from './worker_book.js';
import {TaskStarter} from './task_starter.js';
import {WorkerChooser} from './worker_chooser.js';
import type {WorkerClient} from './worker_client.js';
import {WorkerFleet} from './worker_fleet.js';
import {WorkerTrust} from './worker_trust.js';

/**
 * Under load, all that ends within this time is followed by one pass over the
 * waiting jobs; it is short against the shortest tasks.
 */
const PASS_INTERVAL_MS = 2;
/** Interval of looking ahead over the backlog. */
const FORECAST_INTERVAL_MS = 60;
/** Interval of looking for stragglers. */
const STRAGGLER_INTERVAL_MS = 60;
/** Entry nodes hand the jobs of another dispatcher in within this time. */
const CLAIM_MS = 1_000;
interface PoolDispatcherOptions {
  readonly clock: Clock;
  readonly client: WorkerClient;
  readonly book: WorkerBook;
  /** Fencing token of its orders to begin with. */
  readonly token: number;
  /** Longest lease that workers grant, in ms. */
  readonly leaseMs: number;
  /** For how long leases of earlier leads may last, in ms. */
  readonly earlierLeasesMs: number;
  /** Whether the book was kept up to date until the lead began. */
  readonly isBookComplete: boolean;
  readonly mayOrder: (now: number) => boolean;
  /** The queues in force; undefined before the first configuration. */
  readonly routing: () => RoutingTable | undefined;
  readonly answer: (owner: string, id: string, answer: PoolAnswer) => void;
  readonly observer: PoolObserver;
}

/**
 * Owner of all jobs and workers during one lead: queues tasks, starts them on
 * leased workers and answers each job when it has ended.
 */
export class PoolDispatcher implements LeaseListener {
  private readonly jobs: PoolJobs;
  private readonly workers: WorkerFleet;
  private readonly times = new RunTimes();
  private readonly trust = new WorkerTrust();
  private readonly chooser = new WorkerChooser(this.times, this.trust);
  private readonly order = new PoolOrder(this.times);
  private readonly admission = new PoolAdmission();
  private readonly forecast = new BacklogForecast(this.times);
  private readonly stragglers = new StragglerWatch(this.times);
  private readonly starter: TaskStarter;
  private readonly takeover: Takeover;
  private tokenInUse: number;
  private isPassDue = false;
  private lastPassAt = Number.NEGATIVE_INFINITY;
  private nextStragglers = 0;
  private nextForecast = 0;
  private isClosed = false;

  constructor(private readonly opts: PoolDispatcherOptions) {
    const now = opts.clock.now();
    this.jobs = new PoolJobs({...opts, hopeless: new HopelessJobs(this.times)});
    this.starter = new TaskStarter(this.chooser, this.times, opts.observer);
    this.takeover = new Takeover(
      now,
      opts.earlierLeasesMs,
      opts.isBookComplete,
    );
    const onGone = (id: string) => {
      this.times.forget(id);
      this.trust.forget(id);
    };
    this.tokenInUse = opts.token;
    const currentToken = () => this.tokenInUse;
    const lease = {...opts, currentToken, listener: this};
    this.workers = new WorkerFleet({...lease, onGone});
    this.workers.tick(now);
  }

  get openJobs(): number {
    return this.jobs.size;
  }

  /** Fencing token of its orders at present. */
  get token(): number {
    return this.tokenInUse;
  }

  /** Whether a worker obeys a higher token than this dispatcher's. */
  get isOutranked(): boolean {
    return this.workers.all.some(w => w.isOutranked);
  }

  /** Goes on under a higher token, which others' workers obey again. */
  raiseToken(token: number): void {
    this.tokenInUse = token;
    for (const worker of this.workers.all) worker.onTokenRaised();
  }

  /** Takes a job; one that is known already gets the new owner. */
  submit(owner: string, submission: PoolSubmission): void {
    const {clock, routing} = this.opts;
    const now = clock.now();
    const {job, host, path} = submission;
    const known = this.jobs.get(job.id);
    if (known) {
      known.owner = owner;
      known.isAbandoned = false;
      this.schedulePass();
      return;
    }
    const table = routing();
    const queue = table?.find(host, path);
    const revision = table?.content.revision ?? -1;
    if (!table || revision < (submission.revision ?? 0)) {
      return this.jobs.refuse(owner, job.id, 'no_configuration', 1_000);
    }
    if (!queue || queue.prefix + job.id !== path) {
      this.opts.answer(owner, job.id, {kind: 'no_queue'});
      return;
    }
    if (queue.needsAdvice) {
      return this.jobs.refuse(owner, job.id, 'advice_not_supported', 5_000);
    }
    const {token} = this;
    const entry = new PoolEntry(submission, {owner, queue, token, now});
    this.takeover.adopt([entry], this.workers.all, now);
    const refusal = entry.hasStarted ? undefined : this.check(entry, now);
    if (refusal) {
      const {reason, retryAfterMs} = refusal;
      return this.jobs.refuse(owner, job.id, reason, retryAfterMs);
    }
    this.jobs.add(entry);
    this.opts.observer.recordJobEvent('job_accepted', job.id, {
      queue: queue.name,
      owner,
      tasks: entry.tasks.length,
      open: this.jobs.size,
      revision: table.content.revision,
    });
    this.jobs.finishIfDone(entry, now);
    this.schedulePass();
  }

  /** Gives a job up: nobody waits for its answer any more. */
  drop(id: string, owner: string, reason: string): void {
    const entry = this.jobs.get(id);
    if (!entry || entry.owner !== owner || entry.isAbandoned) return;
    this.opts.observer.recordJobEvent('job_dropped', id, {owner, reason});
    this.jobs.abandon(entry);
  }

  /** Cancels a job; false if it is not known. */
  cancel(id: string): boolean {
    const entry = this.jobs.get(id);
    if (!entry || entry.isAbandoned) return false;
    this.opts.observer.recordJobEvent('job_cancelled', id, {
      owner: entry.owner,
    });
    this.opts.answer(entry.owner, id, {kind: 'cancelled'});
    this.jobs.abandon(entry);
    return true;
  }

  has(id: string): boolean {
    const entry = this.jobs.get(id);
    return entry !== undefined && !entry.isAbandoned;
  }

  /** Jobs of a queue of which no task has started. */
  pendingOf(queue: string): number {
    const isPending = (j: PoolEntry) => j.queue.name === queue && j.isPending;
    return [...this.jobs.all].filter(isPending).length;
  }

  /** Drops the jobs of owners that are no longer heard of. */
  dropOwners(isLost: (owner: string) => boolean): void {
    for (const {job, owner, isAbandoned} of [...this.jobs.all]) {
      if (isAbandoned || !isLost(owner)) continue;
      this.drop(job.id, owner, 'owner_silent');
    }
  }

  tick(now: number): void {
    if (this.isClosed) return;
    this.workers.tick(now);
    this.stopUnclaimed(now);
    if (now >= this.nextStragglers) {
      this.nextStragglers = now + STRAGGLER_INTERVAL_MS;
      this.stragglers.stopLate(this.jobs.all, now);
    }
    this.jobs.expire(now);
    this.refuseHopeless(now);
    this.schedulePass();
  }

  /** Why a job is not taken; undefined if it is. */
  private check(entry: PoolEntry, now: number) {
    const {all, size} = this.workers;
    // Workers that there are may not have reported to a new lead yet.
    const mayWorkersCome = !this.takeover.hasSettled(now);
    const isPossible = (task: PoolTask) => this.chooser.isPossible(task, all);
    if (!mayWorkersCome && !entry.tasks.every(isPossible)) {
      return {reason: 'no_worker_fits', retryAfterMs: 2_000};
    }
    return this.admission.check(this.jobs.size, size, mayWorkersCome);
  }

  /** Refuses what would wait in vain behind the work that comes before it. */
  private refuseHopeless(now: number): void {
    if (now < this.nextForecast) return;
    this.nextForecast = now + FORECAST_INTERVAL_MS;
    const waiting = this.order.sort(this.jobs.all, now);
    if (waiting.length === 0) return;
    const {all} = this.workers;
    const found = this.forecast.findHopeless(waiting, all, now);
    for (const {entry, clearInMs} of found) {
      this.jobs.refuseLate(entry, clearInMs);
    }
  }

  /** Ends the lead: gives no more orders. */
  close(): void {
    this.isClosed = true;
    this.jobs.clear();
  }

  ended(worker: LeasedWorker, run: Run, how: RunEnd): void {
    const {clock, observer} = this.opts;
    const now = clock.now();
    const task = this.jobs.taskOf(run.task);
    observer.incrementCounter(`run_${how}`);
    if (!task || task.run !== run) return this.schedulePass();
    task.run = undefined;
    task.worker = undefined;
    const step = task.job.job.steps[task.step]!;
    const isWorkerFault = how === RunEnd.failed || how === RunEnd.lost;
    if (how === RunEnd.done) {
      const {queue} = task.job;
      const ranMs = now - run.sentAt;
      this.times.record(queue.name, worker.report.id, step.estimatedMs, ranMs);
    }
    if (how === RunEnd.done || isWorkerFault) {
      this.trust.noteEnd(worker.report.id, isWorkerFault, now);
    }
    if (how !== RunEnd.done) {
      observer.recordJobEvent('run_ended', task.job.job.id, {
        task: run.task,
        run: run.number,
        worker: worker.report.id,
        how,
        after_ms: Math.round(now - run.sentAt),
      });
    }
    task.state = how === RunEnd.done ? 'done' : 'waiting';
    if (how === RunEnd.failed) task.failures += 1;
    task.job.unblock();
    this.jobs.finishIfDone(task.job, now);
    this.schedulePass();
  }

  refused(worker: LeasedWorker, run: Run, reason: RunRefusal): void {
    const task = this.jobs.taskOf(run.task);
    this.opts.observer.incrementCounter(`start_refused_${reason}`);
    if (!task || task.run !== run) return;
    task.run = undefined;
    task.worker = undefined;
    task.state = 'waiting';
    this.opts.observer.recordJobEvent('start_refused', task.job.job.id, {
      task: run.task,
      run: run.number,
      worker: worker.report.id,
      reason,
    });
    this.jobs.finishIfDone(task.job, this.opts.clock.now());
    this.schedulePass();
  }

  foreignEnded(name: string, _run: number, how: RunEnd): void {
    const task = this.jobs.taskOf(name);
    if (!task) {
      this.takeover.noteEnd(name, how);
    } else if (how === RunEnd.done && !task.run && task.state === 'waiting') {
      task.state = 'done';
      task.job.unblock();
      this.jobs.finishIfDone(task.job, this.opts.clock.now());
    }
  }

  changed(worker: LeasedWorker): void {
    const {report, isFenced, isOutranked, isSilent} = worker;
    const fields = {worker: report.id, isFenced, isOutranked, isSilent};
    this.opts.observer.recordStateChange('worker_changed', fields);
    this.schedulePass();
  }

  /** Stops what other dispatchers began and no job has claimed since. */
  private stopUnclaimed(now: number): void {
    const isTakeoverEnd = this.takeover.takeEnd(now);
    for (const worker of this.workers.all) {
      const isOld = worker.hasForeignSince(now - CLAIM_MS);
      if (isTakeoverEnd || (this.takeover.isOver && isOld)) {
        worker.stopForeign();
      }
    }
  }

  private schedulePass(): void {
    if (this.isPassDue || this.isClosed) return;
    this.isPassDue = true;
    const {clock} = this.opts;
    const waitMs = this.lastPassAt + PASS_INTERVAL_MS - clock.now();
    clock.schedule(Math.max(0, waitMs), () => {
      this.isPassDue = false;
      this.lastPassAt = clock.now();
      if (!this.isClosed) this.pass(this.lastPassAt);
    });
  }

  /** Starts what fits, in order. */
  private pass(now: number): void {
    if (!this.opts.mayOrder(now)) return;
    const jobs = [...this.jobs.all];
    for (const entry of this.takeover.adopt(jobs, this.workers.all, now)) {
      entry.unblock();
      this.jobs.finishIfDone(entry, now);
    }
    if (!this.takeover.mayStart(this.workers.all, now)) return;
    this.starter.startAll(this.order.sort(jobs, now), this.workers.all, now);
  }
}
