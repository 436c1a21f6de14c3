import type {RoutingTable} from '../routing/routing_table.js';
import {LeadToken} from './lead_token.js';
import {longestChainMs} from './longest_chain_ms.js';
import type {PoolJob} from './pool_job.js';
import type {PoolSubmission} from './pool_submission.js';
import type {PoolTask} from './pool_task.js';

type Queue = NonNullable<ReturnType<RoutingTable['find']>>;

/** An answer later than this many times its objective is worth nothing. */
const USEFUL_FACTOR = 3;

interface PoolEntryOptions {
  /** Entry node that waits for the answer. */
  readonly owner: string;
  readonly queue: Queue;
  /** Fencing token of the dispatcher. */
  readonly token: number;
  readonly now: number;
}

/** A job in the pool, from its arrival until none of its runs is left. */
export class PoolEntry {
  readonly job: PoolJob;
  readonly queue: Queue;
  /** When the caller first handed it in, as far as is known. */
  readonly arrivedAt: number;
  /** Run time with unlimited room, by the caller's estimates. */
  readonly idealMs: number;
  /** Until when an answer is on time. */
  readonly objectiveAt: number;
  /** Until when an answer is of any use. */
  readonly usefulUntil: number;
  /** Until when the caller waits. */
  readonly deadlineAt: number;
  /** Nothing of it starts before. */
  readonly startsAt: number;
  readonly tasks: readonly PoolTask[];
  owner: string;
  /** Whether nobody waits any more; what runs is being stopped. */
  isAbandoned = false;
  hasStarted: boolean;

  constructor(
    {job, waitedMs, patienceMs, settleMs = 0}: PoolSubmission,
    {owner, queue, token, now}: PoolEntryOptions,
  ) {
    this.job = job;
    this.queue = queue;
    this.owner = owner;
    this.arrivedAt = now - waitedMs;
    this.idealMs = longestChainMs(job.steps);
    this.objectiveAt =
      this.arrivedAt + queue.stretch * this.idealMs + queue.targetMs;
    const objectiveMs = this.objectiveAt - this.arrivedAt;
    this.usefulUntil = this.arrivedAt + USEFUL_FACTOR * objectiveMs;
    this.deadlineAt = now + patienceMs;
    this.startsAt = now + settleMs;
    // What another dispatcher has begun is not known yet.
    this.hasStarted = settleMs > 0;
    this.tasks = job.steps.flatMap((step, at) =>
      Array.from({length: step.count}, (_, index) => ({
        name: `${job.id}.0.${at}.${index}`,
        job: this,
        step: at,
        state: step.after.length > 0 ? 'blocked' : 'waiting',
        run: undefined,
        worker: undefined,
        nextRun: LeadToken.firstRun(token),
        failures: 0,
        stragglers: 0,
      })),
    );
  }

  /** Whether it waits and no task has started. */
  get isPending(): boolean {
    return !this.hasStarted && !this.isAbandoned;
  }

  get isDone(): boolean {
    return this.tasks.every(t => t.state === 'done');
  }

  /** Whether a task has failed as often as the queue allows. */
  get isFailed(): boolean {
    return this.tasks.some(t => t.failures >= this.queue.maxAttempts);
  }

  /** Whether a run of it may still hold room. */
  get hasRuns(): boolean {
    return this.tasks.some(t => t.run);
  }

  /** Lets the tasks wait whose earlier steps are done. */
  unblock(): void {
    const isDone = (step: number) =>
      this.tasks.every(t => t.step !== step || t.state === 'done');
    for (const task of this.tasks) {
      if (task.state !== 'blocked') continue;
      if (this.job.steps[task.step]!.after.every(isDone)) {
        task.state = 'waiting';
      }
    }
  }
}
