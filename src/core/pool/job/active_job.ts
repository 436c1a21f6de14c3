import type {RoutingTable} from '../../routing/routing_table.js';
import {FencingToken} from '../lease/fencing_token.js';
import {CrashPolicy} from '../crashes/crash_policy.js';
import {criticalPathMs} from './critical_path_ms.js';
import {JobContact} from './job_contact.js';
import type {PoolJob} from './pool_job.js';
import type {PoolSubmission} from './pool_submission.js';
import type {PoolTask} from './pool_task.js';
import {StartGrounds} from '../trace/start_grounds.js';

type Queue = NonNullable<ReturnType<RoutingTable['find']>>;

/** An answer is useless after this many times its response time objective. */
const USEFUL_FACTOR = 3;

interface ActiveJobOptions {
  /** Entry node that receives the answer. */
  readonly owner: string;
  readonly queue: Queue;
  /** Fencing token of the dispatcher. */
  readonly token: number;
  readonly now: number;
  /** See `JobContact`. Default: permanent. */
  readonly contactAt?: number | undefined;
}

/** A job from its arrival until it is answered and has no active runs. */
export class ActiveJob implements JobContact {
  readonly spec: PoolJob;
  readonly queue: Queue;
  /** When the caller submitted the job, on this node's clock. */
  readonly arrivedAt: number;
  /** Run time with unlimited capacity, from the caller's estimates. */
  readonly criticalPathMs: number;
  /** Time up to which an answer meets the response time objective. */
  readonly objectiveAt: number;
  /** Time up to which an answer is still useful. */
  readonly usefulUntil: number;
  /** The caller's deadline. */
  readonly deadlineAt: number;
  /** Whether the dispatcher of another zone has moved the job here. */
  readonly isLent: boolean;
  /** Time by which the runs of an earlier dispatcher have ended. */
  readonly settlesAt: number;
  /** When this dispatcher received the job. */
  readonly acceptedAt: number;
  /** Node of the dispatcher that had the job before. */
  readonly earlierNode: string | undefined;
  /** Fencing token of the dispatcher that had the job before, if known. */
  readonly earlierToken: number | undefined;
  /**
   * Whether an earlier dispatcher may have runs of the job that have not been
   * reported. Nothing is started meanwhile.
   */
  isSettling: boolean;
  /** Why the job no longer waits for runs of an earlier dispatcher. */
  settledBy: StartGrounds | undefined;
  /** Whether each start is logged, since tasks may have run elsewhere. */
  isTraced: boolean;
  /** Whether an earlier dispatcher had the job, and may have run it. */
  readonly mayHaveRun: boolean;
  readonly tasks: readonly PoolTask[];
  owner: string;
  contactAt: number;
  /** Whether the answer is no longer awaited; its runs are being stopped. */
  isAbandoned = false;
  /** When this dispatcher started a task first. */
  firstStartAt: number | undefined;
  private hasStartedHere = false;

  constructor(
    {
      job: spec,
      waitedMs,
      patienceMs,
      settleMs = 0,
      isLent = false,
      earlierToken,
      earlierNode,
    }: PoolSubmission,
    {owner, queue, token, now, contactAt}: ActiveJobOptions,
  ) {
    this.spec = spec;
    this.queue = queue;
    this.owner = owner;
    this.contactAt = contactAt ?? JobContact.permanent.contactAt;
    this.isLent = isLent;
    this.arrivedAt = now - waitedMs;
    this.criticalPathMs = criticalPathMs(spec.steps);
    this.objectiveAt =
      this.arrivedAt + queue.stretch * this.criticalPathMs + queue.targetMs;
    const objectiveMs = this.objectiveAt - this.arrivedAt;
    this.usefulUntil = this.arrivedAt + USEFUL_FACTOR * objectiveMs;
    this.deadlineAt = now + patienceMs;
    this.settlesAt = now + settleMs;
    this.acceptedAt = now;
    this.earlierToken = earlierToken;
    this.earlierNode = earlierNode;
    this.isSettling = settleMs > 0;
    this.mayHaveRun = settleMs > 0;
    this.isTraced = settleMs > 0 || earlierNode !== undefined;
    this.tasks = spec.steps.flatMap((step, at) =>
      Array.from({length: step.count}, (_, index) => ({
        name: `${spec.id}.0.${at}.${index}`,
        job: this,
        step: at,
        state: step.after.length > 0 ? 'blocked' : 'waiting',
        run: undefined,
        worker: undefined,
        lastRun: undefined,
        nextRunNumber: FencingToken.firstRun(token),
        failures: 0,
        excusedCrashes: 0,
        losses: [],
        stragglerStops: 0,
      })),
    );
  }

  /** Assigns the job to an entry node that waits for its answer. */
  assign(owner: string, contactAt = JobContact.permanent.contactAt): void {
    this.owner = owner;
    this.contactAt = contactAt;
    this.isAbandoned = false;
  }

  /** Whether a task has started, or may have under an earlier dispatcher. */
  get hasStarted(): boolean {
    return this.hasStartedHere || this.isSettling;
  }

  /**
   * Records that a task has started, or that a run of one was adopted, in which
   * case the time is not known.
   */
  recordStart(now?: number): void {
    this.hasStartedHere = true;
    this.firstStartAt ??= now;
  }

  /**
   * Ends the wait for runs of an earlier dispatcher when they have ended, or when
   * all workers have accepted a token above that dispatcher's: `acceptedToken` is
   * the lowest one that a worker has accepted. Each run is then known.
   */
  settle(acceptedToken: number, now: number): void {
    if (!this.isSettling) return;
    const {earlierToken = Number.POSITIVE_INFINITY} = this;
    const isTimeOver = now >= this.settlesAt;
    if (!isTimeOver && acceptedToken <= earlierToken) return;
    this.isSettling = false;
    this.settledBy = isTimeOver
      ? StartGrounds.settledByTime
      : StartGrounds.settledByToken;
  }

  /**
   * Whether the job waits for an answer and no task can have started, under this
   * or an earlier dispatcher. Only such a job may be refused as not run.
   */
  get isPending(): boolean {
    return !this.hasStarted && !this.mayHaveRun && !this.isAbandoned;
  }

  get isDone(): boolean {
    return this.tasks.every(t => t.state === 'done');
  }

  /** Why the job has failed; undefined if it has not. */
  get failureReason(): 'attempts' | 'crashes_workers' | undefined {
    const {tasks, queue} = this;
    if (tasks.some(t => t.failures >= queue.maxAttempts)) return 'attempts';
    return tasks.some(t => CrashPolicy.isFatal(t.losses))
      ? 'crashes_workers'
      : undefined;
  }

  /** Whether a run of the job may still use capacity of a worker. */
  get hasRuns(): boolean {
    return this.tasks.some(t => t.run);
  }

  /** Marks blocked tasks as waiting once their preceding steps are complete. */
  unblock(): void {
    const {steps} = this.spec;
    if (steps.length === 1) return;
    const isDone = steps.map(() => true);
    for (const {step, state} of this.tasks) {
      if (state !== 'done') isDone[step] = false;
    }
    const mayStart = steps.map(({after}) => after.every(at => isDone[at]));
    for (const task of this.tasks) {
      if (task.state === 'blocked' && mayStart[task.step]) {
        task.state = 'waiting';
      }
    }
  }
}
