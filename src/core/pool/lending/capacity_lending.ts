import type {ActiveJob} from '../job/active_job.js';
import type {PoolObserver} from '../pool_observer.js';
import type {JobReferral} from './job_referral.js';
import {MovedJobs} from './moved_jobs.js';
import type {RoomOffers} from './room_offers.js';
import {SpilloverPolicy} from './spillover_policy.js';
import {UsualTaskSize} from './usual_task_size.js';

interface CapacityLendingOptions {
  readonly offers: RoomOffers;
  /** Factor of the run time of a task that is far from its data. */
  readonly remoteFactor: number;
  /** Whether the owner of a job understands redirects. Default: each does. */
  readonly canRedirect?: ((owner: string) => boolean) | undefined;
  /** Sends the owner of a job the dispatcher to which it has to submit it. */
  readonly redirect: (owner: string, id: string, to: JobReferral) => void;
  readonly observer: PoolObserver;
}

interface LateJobs {
  readonly jobs: readonly ActiveJob[];
  /** Expected run time of a task with this estimate, in ms. */
  readonly expectedMs: (queue: string, estimatedMs: number) => number;
  /** Time by which a job has to end for its move to be worth it. */
  readonly endsBy: (job: ActiveJob) => number;
  /** Why the home zone does not serve the jobs. */
  readonly reason: string;
}

/**
 * Capacity that a node's dispatcher borrows from others: moves jobs to them and
 * remembers where. Outlives the dispatcher, so that its successor on the node
 * redirects the same jobs to the same zones.
 */
export class CapacityLending {
  /** Size of the tasks that are submitted to this node's dispatcher. */
  readonly taskSize = new UsualTaskSize();
  private readonly moved = new MovedJobs();
  private readonly policy = new SpilloverPolicy();

  constructor(private readonly opts: CapacityLendingOptions) {}

  /** Whether another dispatcher offers room. */
  hasOffers(now: number): boolean {
    return this.opts.offers.open(now).length > 0;
  }

  /**
   * Number of other dispatchers among which room is divided: those without room
   * of their own, and all while each has some. The others need none until their
   * next claim says so.
   */
  countBorrowers(now: number): number {
    const {live, empty} = this.opts.offers.count(now);
    return empty > 0 ? empty : live;
  }

  /** Redirects a job again that was moved before; false if it was not. */
  redirectAgain(owner: string, id: string, now: number): boolean {
    const to = this.moved.get(id, now);
    if (to) this.opts.redirect(owner, id, to);
    return to !== undefined;
  }

  /** Forgets that a job was moved. */
  forget(id: string): void {
    this.moved.delete(id);
  }

  /** Moves jobs that have not started to dispatchers with room; returns them. */
  move(late: LateJobs, now: number): ActiveJob[] {
    const {offers, observer, redirect, canRedirect} = this.opts;
    const open = offers.open(now);
    if (open.length === 0) return [];
    const candidates = late.jobs
      .filter(job => canRedirect?.(job.owner) ?? true)
      .map(job => this.candidateOf(job, late));
    const {cpu: usualCpu} = this.taskSize;
    const moves = this.policy.choose(candidates, open, usualCpu, now);
    return moves.map(({job, offer, cpu, endsAt}) => {
      const {node, zone, token, statedAt} = offer;
      const {owner, spec} = job;
      offers.take(node, cpu, now, endsAt);
      this.moved.record(spec.id, {node, zone, token}, now);
      observer.incrementCounter('jobs_lent_out');
      observer.recordJobEvent('job_redirected', spec.id, {
        owner,
        to_zone: zone,
        to_node: node,
        reason: late.reason,
        waited_ms: Math.round(now - job.arrivedAt),
      });
      redirect(owner, spec.id, {node, zone, token, statedAt});
      return job;
    });
  }

  private candidateOf(job: ActiveJob, {expectedMs, endsBy}: LateJobs) {
    const {steps, payload} = job.spec;
    const {name} = job.queue;
    let workMs = 0;
    let pathMs = 0;
    for (const {count, estimatedMs, dataRack} of steps) {
      const remoteMs = dataRack ? estimatedMs * this.opts.remoteFactor : 0;
      const taskMs = Math.max(expectedMs(name, estimatedMs), remoteMs);
      workMs += count * taskMs;
      // An upper bound where steps run side by side.
      pathMs += taskMs;
    }
    const widest = steps.reduce((a, b) =>
      b.count * b.demand.cpu > a.count * a.demand.cpu ? b : a,
    );
    return {
      job,
      tasks: widest.count,
      taskCpu: Math.max(...steps.map(({demand}) => demand.cpu)),
      workMs,
      runMs: pathMs,
      endsBy: endsBy(job),
      bytes: payload.length,
      hasDataAtHome: steps.some(({dataRack}) => dataRack),
    };
  }
}
