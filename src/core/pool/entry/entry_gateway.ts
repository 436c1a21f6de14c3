import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import {FailoverTiming} from '../node/failover_timing.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import {criticalPathMs} from '../job/critical_path_ms.js';
import type {PoolJob} from '../job/pool_job.js';
import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {OpenJob} from './open_job.js';
import {isTrueAnswer} from '../outcome/is_true_answer.js';
import {PoolMessage} from '../node/pool_message.js';
import type {PoolObserver} from '../pool_observer.js';
import {retryAfterMs} from '../admission/retry_after.js';

/** Interval at which the dispatcher is polled for open jobs. */
const POLL_MS = 300;
/** Time for which a submission may be in flight. */
const IN_FLIGHT_MS = 250;
/**
 * While no dispatcher is known, a job waits for this share of its critical path
 * and EXTRA_WAIT_MS; a later start would be too late for its caller.
 */
const WAIT_SHARE = 0.9;
const EXTRA_WAIT_MS = 100;
/** Upper bound of that wait; a takeover takes less time. */
const MAX_WAIT_MS = 1_200;
/** The caller is answered this long before its deadline. */
const ANSWER_MARGIN_MS = 20;
/**
 * Time within which a new leader or a fallback takes over. After it, jobs of a
 * lost dispatcher are given up.
 */
const FAILOVER_MS = 2_300;
/**
 * Time for which runs of a fallback may be active after another dispatcher has
 * taken over its workers: one lease on a slow clock.
 */
const FALLBACK_RUNS_MS = 800;
const QUERY_TIMEOUT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

interface EntryGatewayOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly observer: PoolObserver;
}

interface JobRequest {
  readonly host: string;
  readonly path: string;
  readonly job: PoolJob;
  readonly patienceMs: number;
}

/**
 * Holds the callers' requests on an entry node, submits each job to the current
 * dispatcher, and resubmits it when the dispatcher changes.
 */
export class EntryGateway {
  private readonly jobs = new Map<string, OpenJob>();
  private nextPoll = 0;
  private lastClaim: DispatcherClaim | undefined;
  private dispatcherSeenAt = Number.NEGATIVE_INFINITY;
  /** Time of the last contact with the leader of the log. */
  private leaderSeenAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly opts: EntryGatewayOptions) {
    const {peers} = opts;
    peers.onMessage('pool.answer', (from, body) => {
      if (!v.is(PoolMessage.answer, body)) return;
      this.onAnswer(from, body.id, body.answer);
    });
    peers.onMessage('pool.losses', (from, body) => {
      if (!v.is(PoolMessage.losses, body)) return;
      const job = this.jobs.get(body.id);
      if (job?.assignedTo?.node === from) job.losses = body.losses;
    });
    peers.onMessage('pool.unknown', (_from, body, now) =>
      this.onUnknown(body, now),
    );
  }

  get openJobs(): number {
    return this.jobs.size;
  }

  get hasDispatcher(): boolean {
    return this.opts.directory.dispatcher(this.opts.clock.now()) !== undefined;
  }

  /** Accepts a job; `respond` is called once unless it is dropped before. */
  submit(req: JobRequest, respond: (answer: PoolAnswer) => void): void {
    const now = this.opts.clock.now();
    const {id} = req.job;
    const known = this.jobs.get(id);
    if (known) {
      known.respond({kind: 'given_up', reason: 'replaced by a resubmission'});
      known.respond = respond;
      return;
    }
    const job: OpenJob = {
      ...req,
      id,
      arrivedAt: now,
      deadlineAt: now + req.patienceMs,
      respond,
      assignedTo: undefined,
      submittedAt: 0,
      firstSubmittedAt: undefined,
      earlierToken: 0,
      earliestStartAt: 0,
      losses: [],
      wasResubmitted: false,
      maxWaitMs: Math.min(
        MAX_WAIT_MS,
        EXTRA_WAIT_MS + WAIT_SHARE * criticalPathMs(req.job.steps),
      ),
    };
    this.jobs.set(id, job);
    this.assign(job, now);
  }

  /** Drops a job whose caller has disconnected. */
  drop(id: string, respond: (answer: PoolAnswer) => void): void {
    const job = this.jobs.get(id);
    if (!job || job.respond !== respond) return;
    this.jobs.delete(id);
    this.sendDrop(job, 'caller_gone');
  }

  /** Queries the dispatcher; returns undefined if there is no valid reply. */
  async query(
    request: v.InferOutput<typeof PoolMessage.ask>,
  ): Promise<{readonly found: boolean; readonly pending?: number} | undefined> {
    const {directory, clock, peers} = this.opts;
    const claim = directory.dispatcher(clock.now());
    if (!claim) return undefined;
    const res = await peers.request(
      claim.node,
      'pool.ask',
      request,
      QUERY_TIMEOUT_MS,
    );
    if (res.isErr) return undefined;
    const parsed = v.safeParse(QueryReply, res.value);
    return parsed.success
      ? {
          found: parsed.output.found,
          ...(parsed.output.pending === undefined
            ? {}
            : {pending: parsed.output.pending}),
        }
      : undefined;
  }

  tick(now: number): void {
    const claim = this.opts.directory.dispatcher(now);
    if (claim) this.dispatcherSeenAt = now;
    if (claim && !claim.isFallback) this.leaderSeenAt = claim.heardAt;
    if (!isSameDispatcher(claim, this.lastClaim)) {
      this.opts.observer.recordStateChange(
        claim ? 'lead_found' : 'lead_silent',
        {
          term: claim?.term ?? this.lastClaim?.term,
          lead: claim?.node,
          is_fallback: claim?.isFallback,
          open: this.jobs.size,
        },
      );
    }
    this.lastClaim = claim;
    for (const job of [...this.jobs.values()]) this.updateJob(job, claim, now);
    const isLive = claim && now - claim.heardAt < FailoverTiming.POLL_CUTOFF_MS;
    if (isLive && now >= this.nextPoll) {
      this.nextPoll = now + POLL_MS;
      this.poll(claim.node, now);
    }
  }

  private updateJob(
    job: OpenJob,
    claim: DispatcherClaim | undefined,
    now: number,
  ): void {
    const {assignedTo: assigned} = job;
    if (now >= job.deadlineAt - ANSWER_MARGIN_MS) {
      this.expire(job);
    } else if (claim && !isSameDispatcher(claim, assigned)) {
      if (this.mayReassign(assigned, now)) this.assign(job, now);
    } else if (!claim && now - job.arrivedAt > job.maxWaitMs) {
      if (!assigned) this.refuse(job, 'no_lead');
      else if (now - this.dispatcherSeenAt > FAILOVER_MS) this.giveUpLost(job);
    }
  }

  /** Whether a job may be submitted to another dispatcher than `from`. */
  private mayReassign(from: DispatcherClaim | undefined, now: number): boolean {
    if (!from || from.isFallback || !this.lastClaim?.isFallback) return true;
    // A fallback cannot see runs in other zones, so those must have ended first.
    return now - this.leaderSeenAt >= FailoverTiming.LEADER_RUNS_ENDED_MS;
  }

  /** Gives up a job that a lost dispatcher may have run. */
  private giveUpLost(job: OpenJob): void {
    this.opts.observer.recordJobEvent('job_given_up', job.id, {
      reason: 'lead_lost',
      lead: job.assignedTo?.node,
      lead_silent_ms: Math.round(this.opts.clock.now() - this.dispatcherSeenAt),
    });
    this.respondTo(job.id, {kind: 'given_up', reason: 'lead_lost'});
  }

  private expire(job: OpenJob): void {
    if (!job.assignedTo) {
      this.refuse(job, 'no_lead');
      return;
    }
    this.sendDrop(job, 'deadline');
    this.respondTo(job.id, {kind: 'given_up', reason: 'deadline'});
  }

  private refuse(job: OpenJob, reason: string): void {
    const {observer, clock} = this.opts;
    const now = clock.now();
    observer.recordJobEvent('job_refused', job.id, {
      reason,
      waited_ms: Math.round(now - job.arrivedAt),
    });
    const retryMs = retryAfterMs(job.id, RETRY_AFTER_MS);
    this.respondTo(job.id, {kind: 'refused', reason, retryAfterMs: retryMs});
  }

  /**
   * Only the dispatcher that has the job knows that it will not complete. An
   * earlier one may have been suspended and answer from what it knew before.
   */
  private onAnswer(from: string, id: string, answer: PoolAnswer): void {
    const job = this.jobs.get(id);
    if (!job) return;
    if (answer.kind === 'completed' || job.assignedTo?.node === from) {
      this.respondTo(id, answer);
      return;
    }
    this.opts.observer.recordJobEvent('answer_ignored', id, {
      from,
      kind: answer.kind,
      lead: job.assignedTo?.node,
    });
  }

  private respondTo(id: string, answer: PoolAnswer): void {
    const job = this.jobs.get(id);
    if (!job) return;
    this.jobs.delete(id);
    const isTrue = isTrueAnswer(answer, job, this.opts.clock.now());
    if (job.wasResubmitted && answer.kind === 'refused') {
      const {observer} = this.opts;
      observer.incrementCounter(
        isTrue ? 'refusals_proved' : 'refusals_unproved',
      );
    }
    job.respond(
      isTrue ? answer : {kind: 'given_up', reason: 'the dispatcher changed'},
    );
  }

  private assign(job: OpenJob, now: number): void {
    const {directory, peers} = this.opts;
    const claim = directory.dispatcher(now);
    if (!claim) return;
    const {assignedTo: assigned} = job;
    job.wasResubmitted ||= assigned !== undefined;
    if (assigned && !isSameDispatcher(assigned, claim)) {
      job.earlierToken = Math.max(job.earlierToken, assigned.token);
    }
    job.assignedTo = claim;
    job.submittedAt = now;
    job.firstSubmittedAt ??= now;
    // A new leader polls all workers before it starts anything. A leader that
    // takes a zone back from a fallback does not, so starts must wait.
    if (assigned?.isFallback && !isSameDispatcher(assigned, claim)) {
      job.earliestStartAt = now + FALLBACK_RUNS_MS;
    }
    peers.send(claim.node, 'pool.submit', {
      host: job.host,
      path: job.path,
      job: job.job,
      waitedMs: now - job.arrivedAt,
      patienceMs: Math.max(0, job.deadlineAt - now),
      settleMs: Math.max(0, job.earliestStartAt - now),
      losses: job.losses,
      revision: claim.isFallback ? (directory.lastLeader?.revision ?? 0) : 0,
    });
  }

  private sendDrop(job: OpenJob, reason: string): void {
    const {directory, clock, peers} = this.opts;
    const claim = directory.dispatcher(clock.now());
    if (!claim) return;
    peers.send(claim.node, 'pool.drop', {id: job.id, reason});
  }

  private poll(claim: string, now: number): void {
    const ids = [...this.jobs.values()]
      .filter(j => now - j.submittedAt >= IN_FLIGHT_MS)
      .map(j => j.id);
    if (ids.length > 0) this.opts.peers.send(claim, 'pool.poll', {ids});
  }

  private onUnknown(body: unknown, now: number): void {
    if (!v.is(PoolMessage.unknown, body)) return;
    for (const id of body.ids) {
      const job = this.jobs.get(id);
      if (job && now - job.submittedAt >= IN_FLIGHT_MS) this.assign(job, now);
    }
  }
}

/** Whether two claims are of the same dispatcher; a token may have increased. */
function isSameDispatcher(
  a: DispatcherClaim | undefined,
  b: DispatcherClaim | undefined,
): boolean {
  if (!a || !b) return a === b;
  if (a.isFallback !== b.isFallback || a.node !== b.node) return false;
  return a.isFallback ? a.token === b.token : a.term === b.term;
}

const QueryReply = v.object({
  found: v.boolean(),
  pending: v.optional(v.number()),
});
