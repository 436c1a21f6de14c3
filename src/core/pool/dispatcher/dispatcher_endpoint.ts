import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import type {WorkerLoss} from '../crashes/worker_loss.js';
import {AnswerCache} from '../job/answer_cache.js';
import type {ZoneGrant} from '../zones/zone_grant.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import {EarlySubmissions} from './early_submissions.js';
import {OwnerContacts} from './owner_contacts.js';
import type {PoolDispatcher} from './pool_dispatcher.js';
import {PoolMessage} from '../node/pool_message.js';
import type {PoolObserver} from '../pool_observer.js';
import {PoolSubmission} from '../job/pool_submission.js';
import {RecentStarts} from '../job/recent_starts.js';

/** Time within which entry nodes submit their open jobs to a new dispatcher. */
const RESUBMISSION_MS = 1_000;

interface DispatcherEndpointOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly routing: () => RoutingTable | undefined;
  /** Redirects a job again that was moved before; false if it was not. */
  readonly redirectAgain?: (owner: string, id: string) => boolean;
  readonly observer: PoolObserver;
}

/**
 * Message endpoint of the dispatcher of this node, while there is one. Receives
 * jobs and queries from entry nodes, sends the answers and caches them.
 */
export class DispatcherEndpoint {
  private current: PoolDispatcher | undefined;
  private isConfigCurrent: (now: number) => boolean = () => true;
  private readonly contacts = new OwnerContacts();
  private lastTickAt = Number.NEGATIVE_INFINITY;
  private attachedAt = Number.NEGATIVE_INFINITY;
  private readonly answers = new AnswerCache();
  /** Jobs that may have run under any dispatcher of the deployment. */
  private readonly unclear = new RecentStarts();
  /** Jobs that need a newer configuration than this node has. */
  private readonly early = new EarlySubmissions();

  constructor(private readonly opts: DispatcherEndpointOptions) {
    const {peers} = opts;
    peers.onMessage('pool.submit', (from, body, now) =>
      this.onSubmit(from, body, now),
    );
    peers.onMessage('pool.poll', (from, body, now) =>
      this.onPoll(from, body, now),
    );
    peers.onMessage('pool.drop', (from, body) => {
      if (!v.is(PoolMessage.drop, body)) return;
      this.early.delete(body.id);
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
    peers.onRequest('pool.ask', (_from, body) =>
      Promise.resolve(this.onQuery(body)),
    );
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
    this.isConfigCurrent = isConfigCurrent;
    this.attachedAt = this.lastTickAt = this.opts.clock.now();
    this.answers.clear();
    this.contacts.clear();
  }

  close(): void {
    this.current?.close();
    this.current = undefined;
    this.early.clear();
  }

  tick(now: number): void {
    const {current} = this;
    if (!current) return;
    this.dropJobsOfSilentOwners(current, now);
    this.lastTickAt = now;
    for (const [owner, submission] of this.early.take(this.revision, now)) {
      // The jobs of a lost entry node have just been dropped.
      if (!this.contacts.isLost(owner, now)) current.submit(owner, submission);
    }
    current.tick(now);
    this.answers.expire(now);
  }

  private dropJobsOfSilentOwners(current: PoolDispatcher, now: number): void {
    const jobsByOwner = new Map<string, number>();
    current.dropJobsOfOwners(owner => {
      if (!this.contacts.isLost(owner, now)) return false;
      jobsByOwner.set(owner, (jobsByOwner.get(owner) ?? 0) + 1);
      return true;
    });
    for (const [owner, jobs] of jobsByOwner) {
      const silentMs = this.contacts.silentMs(owner, now);
      this.opts.observer.recordStateChange('owner_silent', {
        owner,
        jobs,
        silent_ms: silentMs === undefined ? undefined : Math.round(silentMs),
        // A late tick breaks the bound on the silence.
        since_tick_ms: Math.round(now - this.lastTickAt),
        token: current.token,
      });
    }
  }

  /** Sends the answer of a job to its entry node. */
  answer(owner: string, id: string, answer: PoolAnswer): void {
    this.answers.set(id, answer, this.opts.clock.now());
    this.opts.peers.send(owner, 'pool.answer', {id, answer});
  }

  /** Sends the entry node what it needs to submit the job elsewhere. */
  reportLosses(owner: string, id: string, losses: readonly WorkerLoss[]): void {
    this.opts.peers.send(owner, 'pool.losses', {id, losses});
  }

  /** Tells the entry node of a job to which dispatcher it was moved. */
  redirect(owner: string, id: string, to: ZoneGrant): void {
    this.opts.peers.send(owner, 'pool.redirect', {id, ...to});
  }

  private onSubmit(from: string, body: unknown, now: number): void {
    const {current} = this;
    if (!current || !v.is(PoolSubmission, body)) return;
    this.contacts.record(from, body.claimStatedAt, now);
    // The message was late. An entry node that still waits submits the job again,
    // since its next poll finds that it is unknown.
    if (this.contacts.isLost(from, now)) return;
    // A resubmitted job runs again, even if it has been answered before.
    this.answers.delete(body.job.id);
    const isEarly = this.revision < (body.revision ?? 0);
    if (isEarly && !current.has(body.job.id)) this.early.add(from, body, now);
    else current.submit(from, body);
  }

  /** Revision of the queue configuration in force; -1 before the first one. */
  private get revision(): number {
    return this.opts.routing()?.content.revision ?? -1;
  }

  private onPoll(from: string, body: unknown, now: number): void {
    const {current} = this;
    if (!current || !v.is(PoolMessage.poll, body)) return;
    this.contacts.record(from, body.claimStatedAt, now);
    const unknown: string[] = [];
    for (const id of body.ids) {
      const known = this.answers.get(id);
      if (known) {
        this.opts.peers.send(from, 'pool.answer', {id, answer: known});
        continue;
      }
      if (current.has(id) || this.early.has(id)) continue;
      // The redirect may have been lost.
      if (!this.opts.redirectAgain?.(from, id)) unknown.push(id);
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

  private onQuery(body: unknown): unknown {
    const {current} = this;
    const table = this.opts.routing();
    if (!current || !table || !v.is(PoolMessage.ask, body)) return undefined;
    switch (body.kind) {
      case 'cancel':
        return this.findOrUndefined(current.cancel(body.id));
      case 'state':
        return this.findOrUndefined(current.has(body.id));
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
