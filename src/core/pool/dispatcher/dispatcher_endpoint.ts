import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import type {WorkerLoss} from '../crashes/worker_loss.js';
import type {JobReferral} from '../lending/job_referral.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import {CancelledSubmissions} from './cancelled_submissions.js';
import {dropSilentJobs} from './drop_silent_jobs.js';
import {EarlySubmissions} from './early_submissions.js';
import {isLost} from './is_lost.js';
import {JobAnswers} from './job_answers.js';
import type {ReceivedSubmission} from './received_submission.js';
import {readContactTime} from './read_contact_time.js';
import type {PoolDispatcher} from './pool_dispatcher.js';
import {PoolMessage} from '../node/pool_message.js';
import type {PoolObserver} from '../pool_observer.js';
import {PoolSubmission} from '../job/pool_submission.js';
import {RecentStarts} from '../job/recent_starts.js';

/** Age of a submission from which on it is logged as late. */
const LATE_SUBMISSION_MS = 500;
/** Time within which entry nodes submit their open jobs to a new dispatcher. */
const RESUBMISSION_MS = 1_000;

interface DispatcherEndpointOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly routing: () => RoutingTable | undefined;
  /** Redirects a job again that was moved before; false if it was not. */
  readonly redirectAgain?: (owner: string, id: string) => boolean;
  /** Sends the claim of the present dispatcher to a node. */
  readonly sendClaim?: (node: string) => void;
  readonly observer: PoolObserver;
}

/**
 * Message endpoint of the dispatcher of this node, while there is one. Receives
 * jobs and queries from entry nodes, sends the answers and caches them.
 */
export class DispatcherEndpoint {
  private current: PoolDispatcher | undefined;
  /** Token under which the dispatcher was opened; see PoolSubmission. */
  private openedUnder = 0;
  private isConfigCurrent: (now: number) => boolean = () => true;
  private lastTickAt = Number.NEGATIVE_INFINITY;
  private attachedAt = Number.NEGATIVE_INFINITY;
  private readonly answers: JobAnswers;
  /** Jobs that may have run under any dispatcher of the deployment. */
  private readonly unclear = new RecentStarts();
  /** Jobs that wait for a configuration, or for their entry node to confirm them. */
  private readonly early = new EarlySubmissions();
  /** Outlasts a dispatcher of this node, and is kept on nodes without one. */
  private readonly cancelled: CancelledSubmissions;

  constructor(private readonly opts: DispatcherEndpointOptions) {
    const {peers, routing} = opts;
    this.answers = new JobAnswers(opts);
    const isConfigCurrent = (now: number) => this.isConfigCurrent(now);
    this.cancelled = new CancelledSubmissions({routing, isConfigCurrent});
    peers.onMessage('pool.submit', (from, body, now) =>
      this.onSubmit(from, body, now),
    );
    peers.onMessage('pool.poll', (from, body, now) =>
      this.onPoll(from, body, now),
    );
    peers.onMessage('pool.drop', (from, body) => {
      if (!v.is(PoolMessage.drop, body)) return;
      // The caller may have sent the job to another entry node meanwhile.
      if (this.early.ownerOf(body.id) === from) this.early.delete(body.id);
      this.current?.drop(body.id, from, body.reason);
    });
    peers.onMessage('pool.release', (from, body) => {
      if (!v.is(PoolMessage.release, body)) return;
      for (const id of body.ids) {
        this.current?.jobs.release(id, from, body.reason);
      }
    });
    peers.onMessage('pool.unclear', (from, body, now) => {
      if (!v.is(PoolMessage.unclear, body)) return;
      this.unclear.expire(now);
      for (const id of body.ids) {
        this.unclear.record(id, now);
        this.current?.recordUnclear(id, from);
      }
    });
    peers.onMessage('pool.cancelled', (_from, body, now) => {
      if (!v.is(PoolMessage.cancelled, body)) return;
      for (const id of body.ids) this.cancel(id, now);
    });
    peers.onRequest('pool.ask', (_from, body) =>
      Promise.resolve(this.onQuery(body)),
    );
  }

  /** Entry nodes that have jobs here. */
  get owners(): ReadonlySet<string> {
    return new Set([...(this.current?.owners ?? []), ...this.early.owners]);
  }

  /** Whether another dispatcher or an entry node has told that a job may have run. */
  mayHaveRun(id: string): boolean {
    this.unclear.expire(this.opts.clock.now());
    return this.unclear.has(id);
  }

  get dispatcher(): PoolDispatcher | undefined {
    return this.current;
  }

  /**
   * Attaches a dispatcher, which must answer through `answer`. Queries are denied
   * only while `isConfigCurrent`, see PoolDispatcherOptions.
   */
  attach(
    dispatcher: PoolDispatcher,
    isConfigCurrent: (now: number) => boolean = () => true,
  ): void {
    this.current = dispatcher;
    this.openedUnder = dispatcher.token;
    this.isConfigCurrent = isConfigCurrent;
    this.attachedAt = this.lastTickAt = this.opts.clock.now();
    this.answers.clear();
  }

  close(): void {
    this.current?.close();
    this.current = undefined;
    this.early.clear();
  }

  tick(now: number): void {
    const {current} = this;
    if (!current) return;
    const {observer} = this.opts;
    dropSilentJobs(current, {observer, lastTickAt: this.lastTickAt}, now);
    this.lastTickAt = now;
    this.passEarly(current, now);
    current.tick(now);
    this.answers.expire(now, id => current.has(id));
  }

  /** Sends the answer of a job to its entry node. */
  answer(owner: string, id: string, answer: PoolAnswer): void {
    this.answers.send(owner, id, answer);
  }

  /** Sends the entry node what it needs to submit the job elsewhere. */
  reportLosses(owner: string, id: string, losses: readonly WorkerLoss[]): void {
    this.opts.peers.send(owner, 'pool.losses', {id, losses});
  }

  /** Tells the entry node of a job to which dispatcher it was moved. */
  redirect(owner: string, id: string, to: JobReferral): void {
    this.opts.peers.send(owner, 'pool.redirect', {id, ...to});
  }

  private onSubmit(from: string, body: unknown, now: number): void {
    const {current} = this;
    if (!current || !v.is(PoolSubmission, body)) return;
    if ((body.dispatcher ?? this.openedUnder) !== this.openedUnder) {
      return this.turnAway(from, body);
    }
    const contactAt = readContactTime(body, now);
    // The message was late. An entry node that still waits submits the job again,
    // since its next poll finds that it is unknown.
    if (contactAt !== undefined && isLost({contactAt}, now)) return;
    this.recordLateness(from, body, now);
    const {id} = body.job;
    // A resubmitted job runs again, even if it has been answered before.
    this.answers.delete(id);
    // It replaces one of the job that still waits.
    this.early.delete(id);
    if (contactAt === undefined) {
      // The caller may have gone since the message was sent.
      this.early.add({owner: from, submission: body, contactAt}, now);
      return this.askToConfirm(from, [id], now);
    }
    const isEarly = this.revision < (body.revision ?? 0);
    const received = {owner: from, submission: body, contactAt};
    if (isEarly && !current.has(id)) this.early.add(received, now);
    else this.pass(current, received, now);
  }

  /** Asks an entry node to poll for the jobs that it still holds. */
  private askToConfirm(owner: string, ids: readonly string[], now: number) {
    this.opts.peers.send(owner, 'pool.confirm', {ids, claimStatedAt: now});
  }

  /** Passes the jobs to the dispatcher that wait for nothing any more. */
  private passEarly(current: PoolDispatcher, now: number): void {
    for (const early of this.early.take(this.revision, now)) {
      if (!isLost(early, now)) this.pass(current, early, now);
    }
  }

  /** Makes an entry node submit a job again that was meant for another dispatcher. */
  private turnAway(owner: string, {job, dispatcher}: PoolSubmission): void {
    this.opts.observer.recordJobEvent('submission_misdirected', job.id, {
      owner,
      meant_for: dispatcher,
      token: this.openedUnder,
    });
    this.opts.sendClaim?.(owner);
    this.opts.peers.send(owner, 'pool.unknown', {ids: [job.id]});
  }

  /** Passes a job to the dispatcher, unless it was cancelled. */
  private pass(
    current: PoolDispatcher,
    {owner, submission, contactAt}: ReceivedSubmission,
    now: number,
  ): void {
    const {id} = submission.job;
    this.answers.recordRequest(submission);
    const answer = this.cancelled.answerTo(submission, now);
    if (!answer) return current.submit(owner, submission, contactAt);
    const fields = {owner, answer: answer.kind};
    this.opts.observer.recordJobEvent('cancelled_job_submitted', id, fields);
    this.answer(owner, id, answer);
  }

  /**
   * Logs a submission that was late on its way, or whose entry node has not heard
   * this dispatcher for a while, or ever: its caller may have gone since.
   */
  private recordLateness(
    owner: string,
    {job, claimStatedAt, waitedMs, isLent}: PoolSubmission,
    now: number,
  ): void {
    if (claimStatedAt === undefined) {
      this.opts.observer.recordJobEvent('submission_undated', job.id, {
        owner,
        is_lent: isLent,
        waited_ms: Math.round(waitedMs),
        token: this.current?.token,
      });
    }
    const ageMs = now - (claimStatedAt ?? now);
    if (ageMs < LATE_SUBMISSION_MS) return;
    this.opts.observer.recordJobEvent('submission_late', job.id, {
      owner,
      claim_age_ms: Math.round(ageMs),
      token: this.current?.token,
    });
  }

  /** Revision of the queue configuration in force; -1 before the first one. */
  private get revision(): number {
    return this.opts.routing()?.content.revision ?? -1;
  }

  private onPoll(from: string, body: unknown, now: number): void {
    const {current} = this;
    if (!current || !v.is(PoolMessage.poll, body)) return;
    const contactAt = readContactTime(body, now);
    const unknown: string[] = [];
    const unconfirmed = body.ids.filter(id => this.early.isUnconfirmed(id));
    for (const id of body.ids) {
      if (contactAt !== undefined) {
        current.recordContact(from, id, contactAt);
        this.early.recordContact(from, id, contactAt);
      }
      if (this.answers.resend(from, id)) {
        // The job was answered after its submission here had been read.
        if (this.early.ownerOf(id) === from) this.early.delete(id);
        continue;
      }
      if (current.has(id) || this.early.has(id)) continue;
      // The redirect may have been lost.
      if (!this.opts.redirectAgain?.(from, id)) unknown.push(id);
    }
    if (unconfirmed.length > 0) {
      if (contactAt === undefined) this.askToConfirm(from, unconfirmed, now);
      else this.passEarly(current, now);
    }
    if (unknown.length === 0) return;
    this.opts.peers.send(from, 'pool.unknown', {ids: unknown});
  }

  /**
   * Reply about a job; undefined if it is not known and may have been submitted
   * elsewhere, or is yet to be submitted here again.
   */
  private findOrUndefined(found: boolean): {found: boolean} | undefined {
    const now = this.opts.clock.now();
    const isSettled = now - this.attachedAt >= RESUBMISSION_MS;
    const mayDeny = isSettled && this.isConfigCurrent(now);
    return found || mayDeny ? {found} : undefined;
  }

  /**
   * Cancels a job, also one that is yet to be submitted here; returns whether it
   * is known.
   */
  private cancel(id: string, now: number): boolean {
    this.cancelled.add(id, now);
    const isKnown = this.current?.cancel(id) ?? false;
    const early = this.early.get(id);
    if (!early) return isKnown;
    this.early.delete(id);
    this.answers.recordRequest(early.submission);
    this.answer(early.owner, id, {kind: 'cancelled'});
    return true;
  }

  private onQuery(body: unknown): unknown {
    const {current} = this;
    const table = this.opts.routing();
    if (!v.is(PoolMessage.ask, body)) return undefined;
    const isFound =
      body.kind === 'cancel' && this.cancel(body.id, this.opts.clock.now());
    if (!current || !table) return undefined;
    switch (body.kind) {
      case 'cancel':
        return this.findOrUndefined(isFound);
      case 'state':
        return this.findOrUndefined(
          current.has(body.id) || this.early.has(body.id),
        );
      case 'pending': {
        const queue = table.find(body.host, body.path);
        const {revision} = this;
        if (queue?.prefix === body.path) {
          return {
            found: true,
            pending: current.pendingOf(queue.name),
            revision,
          };
        }
        const isKnown = this.isConfigCurrent(this.opts.clock.now());
        return isKnown ? {found: false, revision} : undefined;
      }
    }
  }
}
