import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import type {PoolJob} from '../job/pool_job.js';
import {CancelNotifier} from './cancel_notifier.js';
import type {OpenJob} from './open_job.js';
import {InputProgress} from './input_progress.js';
import {isSameDispatcher} from './is_same_dispatcher.js';
import {JobPolls} from './job_polls.js';
import {maxWaitMs} from './max_wait_ms.js';
import {queryDispatchers} from './query_dispatchers.js';
import {recordCaller} from './record_caller.js';
import {recordResubmission} from './record_resubmission.js';
import {sendUnclear} from './send_unclear.js';
import {Settling} from './settling.js';
import {toSubmission} from './to_submission.js';
import {ZoneContacts} from './zone_contacts.js';
import {PoolMessage} from '../node/pool_message.js';
import type {PoolObserver} from '../pool_observer.js';
import {retryAfterMs} from '../admission/retry_after.js';

/** Time for which a submission may be in flight. */
const IN_FLIGHT_MS = 250;
/** The caller is answered this long before its deadline. */
const ANSWER_MARGIN_MS = 20;
/**
 * Time within which a new leader or a fallback takes over. After it, jobs of a
 * lost dispatcher are given up.
 */
const FAILOVER_MS = 2_300;
const RETRY_AFTER_MS = 1_000;

interface EntryGatewayOptions {
  /** Zone of this node, whose dispatcher gets its jobs. */
  readonly zone: string;
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
  readonly jobs = new Map<string, OpenJob>();
  readonly input: InputProgress;
  private readonly contacts: ZoneContacts;
  private readonly cancels: CancelNotifier;
  private readonly polls: JobPolls;
  private lastRequest = 0;

  constructor(private readonly opts: EntryGatewayOptions) {
    const {peers} = opts;
    this.input = new InputProgress(opts.clock);
    this.contacts = new ZoneContacts({...opts, openJobs: () => this.jobs.size});
    this.cancels = new CancelNotifier(opts);
    this.polls = new JobPolls(opts, this.jobs, this.contacts);
    peers.onMessage('pool.answer', (from, body, now) => {
      if (!v.is(PoolMessage.answer, body)) return;
      this.onAnswer(from, body, now);
    });
    peers.onMessage('pool.losses', (from, body) => {
      if (!v.is(PoolMessage.losses, body)) return;
      const job = this.jobs.get(body.id);
      if (job?.assignedTo?.node === from) job.losses = body.losses;
    });
    peers.onMessage('pool.redirect', (from, body, now) => {
      if (!v.is(PoolMessage.redirect, body)) return;
      this.onRedirect(from, body, now);
    });
    peers.onMessage('pool.confirm', (from, body) => {
      if (v.is(PoolMessage.confirm, body)) this.polls.confirm(from, body);
    });
    peers.onMessage('pool.unknown', (from, body, now) =>
      this.onUnknown(from, body, now),
    );
  }

  get openJobs(): number {
    return this.jobs.size;
  }

  get hasDispatcher(): boolean {
    const {directory, clock, zone} = this.opts;
    return directory.claims.dispatcherOf(zone, clock.now()) !== undefined;
  }

  /** Accepts a job; `respond` is called once unless it is dropped before. */
  submit(req: JobRequest, respond: (answer: PoolAnswer) => void): void {
    const now = this.opts.clock.now();
    const {id} = req.job;
    const known = this.jobs.get(id);
    if (known) {
      const event = {now, input: this.input};
      recordCaller(this.opts.observer, 'job_sent_again', known, event);
      known.respond({kind: 'given_up', reason: 'replaced by a resubmission'});
      known.respond = respond;
      return;
    }
    this.lastRequest = Math.max(this.lastRequest + 1, Math.floor(now));
    const job: OpenJob = {
      ...req,
      id,
      request: this.lastRequest,
      arrivedAt: now,
      deadlineAt: now + req.patienceMs,
      respond,
      zone: this.opts.zone,
      isLent: false,
      assignedTo: undefined,
      submittedAt: 0,
      earliestStartAt: 0,
      earlierToken: 0,
      losses: [],
      wasResubmitted: false,
      wasReferredAgain: false,
      maxWaitMs: maxWaitMs(req.job),
    };
    this.jobs.set(id, job);
    this.assign(job, now);
  }

  /** Drops a job whose caller has disconnected. */
  drop(id: string, respond: (answer: PoolAnswer) => void): void {
    const job = this.jobs.get(id);
    if (!job || job.respond !== respond) return;
    this.jobs.delete(id);
    const {observer, clock} = this.opts;
    const event = {now: clock.now(), input: this.input};
    recordCaller(observer, 'caller_gone', job, event);
    this.sendDrop(job, 'caller_gone');
    sendUnclear(job, this.opts);
  }

  /** Queries all dispatchers; undefined if the answer is not known. */
  query(
    request: Parameters<typeof queryDispatchers>[1],
  ): ReturnType<typeof queryDispatchers> {
    if (request.kind === 'cancel') {
      this.cancels.record(request.id, this.opts.clock.now());
    }
    return queryDispatchers(this.opts, request);
  }

  /** Called by a timer, after which the event loop reads all connections soonest. */
  tick(now: number): void {
    this.onDispatcher(now);
    this.polls.tick(now);
    this.input.tick(now);
  }

  /** Handles news of a dispatcher: submits the jobs that it is to get. */
  onDispatcher(now: number): void {
    // A new dispatcher has to know the cancels before jobs are submitted again.
    this.cancels.tick(now);
    const zones = new Set([this.opts.zone]);
    for (const {zone} of this.jobs.values()) zones.add(zone);
    for (const zone of zones) this.contacts.update(zone, now);
    for (const job of [...this.jobs.values()]) this.updateJob(job, now);
  }

  private updateJob(job: OpenJob, now: number): void {
    const {assignedTo: assigned} = job;
    const contact = this.contacts.of(job.zone);
    const {claim} = contact;
    if (now >= job.deadlineAt - ANSWER_MARGIN_MS) {
      this.expire(job);
    } else if (claim && !isSameDispatcher(claim, assigned)) {
      if (contact.mayReassign(assigned, now)) this.assign(job, now);
    } else if (claim) {
      job.assignedTo = claim;
    } else if (!claim && now - job.arrivedAt > job.maxWaitMs) {
      if (!assigned) this.refuse(job, 'no_lead');
      else if (now - contact.seenAt > FAILOVER_MS) this.giveUpLost(job);
    }
  }

  /** Gives up a job that a lost dispatcher may have run. */
  private giveUpLost(job: OpenJob): void {
    const now = this.opts.clock.now();
    this.opts.observer.recordJobEvent('job_given_up', job.id, {
      reason: 'lead_lost',
      lead: job.assignedTo?.node,
      lead_silent_ms: Math.round(now - this.contacts.of(job.zone).seenAt),
      loop_behind_ms: Math.round(now - this.input.handledUpTo),
    });
    this.sendDrop(job, 'lead_lost');
    this.respondTo(job.id, {kind: 'given_up', reason: 'lead_lost'});
  }

  /** Ends a job that its dispatcher has not answered; `reason` says why. */
  expire(job: OpenJob, reason = 'deadline'): void {
    if (!job.assignedTo) {
      this.refuse(job, 'no_lead');
      return;
    }
    const {observer, clock} = this.opts;
    const event = {now: clock.now(), input: this.input, reason};
    recordCaller(observer, 'job_given_up', job, event);
    this.sendDrop(job, reason);
    this.respondTo(job.id, {kind: 'given_up', reason});
  }

  /** Refuses a job that no dispatcher has, unless it may have run before. */
  refuse(job: OpenJob, reason: string): void {
    const {observer, clock} = this.opts;
    const event = job.wasReferredAgain ? 'job_given_up' : 'job_refused';
    observer.recordJobEvent(event, job.id, {
      reason,
      waited_ms: Math.round(clock.now() - job.arrivedAt),
    });
    if (job.wasReferredAgain) {
      return this.respondTo(job.id, {kind: 'given_up', reason});
    }
    const retryMs = retryAfterMs(job.id, RETRY_AFTER_MS);
    this.respondTo(job.id, {kind: 'refused', reason, retryAfterMs: retryMs});
  }

  /**
   * Only the dispatcher that has the job knows that it will not complete. An
   * earlier one may have been suspended and answer from what it knew before, and
   * the same one may have answered an earlier request for the job.
   */
  private onAnswer(
    from: string,
    {id, answer, request}: v.InferOutput<typeof PoolMessage.answer>,
    now: number,
  ): void {
    const job = this.jobs.get(id);
    if (!job) return;
    const isAssigned = job.assignedTo?.node === from;
    const isCurrent = (request ?? job.request) === job.request;
    if (answer.kind === 'completed' || (isAssigned && isCurrent)) {
      this.respondTo(id, answer);
      return;
    }
    this.opts.observer.recordJobEvent('answer_ignored', id, {
      from,
      kind: answer.kind,
      lead: job.assignedTo?.node,
      is_for_earlier_request: !isCurrent || undefined,
    });
    // A dispatcher that keeps such an answer has not read this submission.
    this.onUnknown(from, {ids: [id]}, now);
  }

  private respondTo(id: string, answer: PoolAnswer): void {
    const job = this.jobs.get(id);
    if (!job) return;
    // An earlier dispatcher may have started a job that this one turns away.
    const isTurnedAway =
      answer.kind === 'refused' || answer.kind === 'no_queue';
    const isConsistent = !isTurnedAway || !job.wasResubmitted;
    this.jobs.delete(id);
    if (!isConsistent || answer.kind === 'given_up') {
      sendUnclear(job, this.opts);
    }
    job.respond(
      isConsistent
        ? answer
        : {kind: 'given_up', reason: 'the dispatcher changed'},
    );
  }

  private assign(job: OpenJob, now: number): void {
    const {directory, peers} = this.opts;
    const {claims} = directory;
    const claim = this.contacts.claimOf(job.zone, now);
    if (!claim) return;
    const {assignedTo: assigned} = job;
    // On resuming, a suspended node would run it. A fallback's runs are adopted.
    if (assigned?.isFallback === false && assigned.node !== claim.node) {
      this.sendDrop(job, 'reassigned');
    }
    job.wasResubmitted ||= assigned !== undefined;
    const submittedAt = job.submittedAt;
    job.assignedTo = claim;
    job.submittedAt = now;
    if (assigned && !isSameDispatcher(assigned, claim)) {
      const change = {zone: job.zone, from: assigned, to: claim};
      const settledAt = now + Settling.durationMs(change);
      job.earliestStartAt = Math.max(job.earliestStartAt, settledAt);
      const token = Settling.earlierToken(change);
      job.earlierToken = Math.max(job.earlierToken, token);
    }
    // A holder moves no job that an earlier dispatcher had, also after its runs.
    const minMs = claim.zone !== undefined && job.earliestStartAt > 0 ? 1 : 0;
    const settleMs = Math.max(minMs, job.earliestStartAt - now);
    if (assigned) {
      const change = {from: assigned, to: claim, settleMs, submittedAt};
      recordResubmission(this.opts.observer, job, change, now);
    }
    const {revision} = claims;
    const {acceptedUpTo, handledUpTo} = this.input;
    const inputUpTo = submittedAt > 0 ? handledUpTo : acceptedUpTo;
    const target = {claim, earlier: assigned, settleMs, revision, inputUpTo};
    peers.send(claim.node, 'pool.submit', toSubmission(job, target, now));
  }

  /** Submits a job to another zone; only its dispatcher moves it, and only once. */
  private onRedirect(
    from: string,
    {id, ...referral}: v.InferOutput<typeof PoolMessage.redirect>,
    now: number,
  ): void {
    const job = this.jobs.get(id);
    if (!job || job.assignedTo?.node !== from) return;
    if (job.isLent || job.earliestStartAt > 0) {
      // The sender moved the job before it was lent to it, or before another
      // dispatcher of the zone had it.
      return this.onUnknown(from, {ids: [id]}, now);
    }
    this.opts.directory.claims.recordReferral(referral, now);
    job.isLent = true;
    job.wasReferredAgain = referral.statedAt === undefined;
    job.zone = referral.zone;
    // The job has not been started, so it needs no time to settle.
    job.assignedTo = undefined;
    this.contacts.update(job.zone, now);
    this.assign(job, now);
  }

  private sendDrop(job: OpenJob, reason: string): void {
    if (!job.assignedTo) return;
    this.opts.peers.send(job.assignedTo.node, 'pool.drop', {
      id: job.id,
      reason,
    });
  }

  private onUnknown(from: string, body: unknown, now: number): void {
    if (!v.is(PoolMessage.unknown, body)) return;
    for (const id of body.ids) {
      const job = this.jobs.get(id);
      if (job?.assignedTo?.node !== from) continue;
      if (now - job.submittedAt >= IN_FLIGHT_MS) this.assign(job, now);
    }
  }
}
