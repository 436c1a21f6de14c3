import * as v from 'valibot';
import type {Clock} from '../clock/clock.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {JobDesk} from './job_desk.js';
import {LeadTiming} from './lead_timing.js';
import type {NodeDirectory} from './node_directory.js';
import {PoolDispatcher} from './pool_dispatcher.js';
import {PoolMessage} from './pool_message.js';
import type {PoolLead} from './pool_lead.js';
import type {PoolObserver} from './pool_observer.js';
import {WorkerBook} from './worker_book.js';
import type {WorkerClient} from './worker_client.js';
import type {ZonePeers} from './zone_peers.js';

/** Pause after an attempt that found the zone's workers in use. */
const RETRY_MS = 500;
const PROBE_TIMEOUT_MS = 300;

interface FallbackServiceOptions {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly directory: NodeDirectory;
  readonly zonePeers: ZonePeers;
  readonly leaseMs: number;
  /** The newest queues that this node knows. */
  readonly routing: () => RoutingTable | undefined;
  readonly observer: PoolObserver;
}

/**
 * Dispatches for one availability zone while it is cut off from the lead of the
 * log, or none is left: jobs of the zone's entry nodes on the zone's workers.
 *
 * It begins only after the lead's part in them is over, and nothing runs on the
 * zone's workers any more. Its fencing token is higher than the lead's, which
 * takes the workers back under a higher one when it is heard again.
 */
export class FallbackService {
  private readonly book = new WorkerBook();
  private readonly desk: JobDesk;
  private leadSeenAt = Number.NEGATIVE_INFINITY;
  private isProbing = false;
  private nextProbe = 0;
  /** Term of the last lead that was told of the zone's workers. */
  private introducedTerm = -1;

  constructor(private readonly opts: FallbackServiceOptions) {
    const {peers} = opts;
    this.desk = new JobDesk(opts);
    peers.onMessage('pool.book', (_from, body, now) => this.onBook(body, now));
  }

  get isDispatching(): boolean {
    return this.desk.dispatcher !== undefined;
  }

  /** What it dispatches at present, for the other entry nodes of the zone. */
  claim(now: number): PoolLead | undefined {
    const {directory, node} = this.opts;
    const {dispatcher} = this.desk;
    const {lastLead} = directory;
    if (!dispatcher || !lastLead) return undefined;
    return {
      node,
      term: lastLead.term,
      token: dispatcher.token,
      isFallback: true,
      revision: this.revision,
      heardAt: now,
    };
  }

  /** Whether it knows enough to dispatch. */
  get isAble(): boolean {
    const {lastLead} = this.opts.directory;
    if (!lastLead || this.book.entries.size === 0) return false;
    return this.revision >= lastLead.revision;
  }

  tick(now: number): void {
    const lead = this.opts.directory.lead(now);
    if (lead && !lead.isFallback) {
      // Counts from when it was heard, not from when it was found silent.
      this.leadSeenAt = lead.heardAt;
      this.introduce(lead);
      this.book.expire(now);
      this.end('lead_found');
    } else if (this.desk.dispatcher) {
      this.endIfNeedless(now);
    } else if (this.mayBegin(now)) void this.tryToBegin();
    this.desk.tick(now);
  }

  /** A new lead may know nothing of the zone's workers. */
  private introduce({node, term}: PoolLead): void {
    if (term === this.introducedTerm) return;
    this.introducedTerm = term;
    const {reports} = this.book;
    if (reports.length === 0) return;
    this.opts.peers.send(node, 'pool.book', {reports, isWhole: false});
  }

  private get revision(): number {
    return this.opts.routing()?.content.revision ?? -1;
  }

  private endIfNeedless(now: number): void {
    const {zonePeers: mates} = this.opts;
    if (mates.haveLead(now)) this.end('lead_elsewhere');
    else if (this.desk.dispatcher!.isOutranked) {
      // Another node dispatches for these workers.
      this.leadSeenAt = now;
      this.end('outranked');
    }
  }

  private end(reason: string): void {
    if (!this.desk.dispatcher) return;
    this.opts.observer.recordStateChange('fallback_ended', {
      zone: this.opts.zone,
      reason,
      open: this.desk.dispatcher.openJobs,
    });
    this.desk.close();
  }

  private mayBegin(now: number): boolean {
    const {directory, zonePeers: mates, node} = this.opts;
    return (
      !this.isProbing &&
      now >= this.nextProbe &&
      now - this.leadSeenAt >= LeadTiming.OVER_MS &&
      directory.lead(now) === undefined &&
      this.isAble &&
      !mates.haveLead(now) &&
      mates.isFirst(node, now)
    );
  }

  private async tryToBegin(): Promise<void> {
    const {clock, observer, zone} = this.opts;
    this.isProbing = true;
    const state = await this.probe();
    this.isProbing = false;
    const now = clock.now();
    this.nextProbe = now + RETRY_MS;
    if (state !== 'unused') {
      observer.recordStateChange('fallback_held_back', {zone, workers: state});
    } else if (this.mayBeginAfter(now)) this.begin(now);
  }

  /** Whether nothing has changed while the workers were asked. */
  private mayBeginAfter(now: number): boolean {
    this.nextProbe = now;
    return this.mayBegin(now);
  }

  /**
   * Asks the zone's workers, under a token that they obey already, whether a
   * lead still renews their leases: something runs on them then.
   */
  private async probe(): Promise<'unused' | 'in_use' | 'unreachable'> {
    const {client, directory} = this.opts;
    const workers = this.book.reports;
    const order = {
      token: directory.highestToken,
      acknowledged: 0,
      waitMs: 0,
    };
    const replies = await Promise.all(
      workers.map(w => client.poll(w, order, PROBE_TIMEOUT_MS)),
    );
    const answered = replies.filter(r => r.kind === 'ok');
    const isInUse =
      replies.some(r => r.kind === 'refused' && r.reason === 'fenced') ||
      answered.some(r => r.look.running.length > 0);
    if (isInUse) return 'in_use';
    return answered.length * 2 > workers.length ? 'unused' : 'unreachable';
  }

  private begin(now: number): void {
    const {directory, observer, zone} = this.opts;
    const token = directory.highestToken + 1;
    const dispatcher = new PoolDispatcher({
      ...this.opts,
      book: this.book,
      token,
      isBookComplete: true,
      // The leases of the lead have run out before.
      earlierLeasesMs: 0,
      mayOrder: at => {
        const lead = directory.lead(at);
        return lead === undefined || lead.isFallback;
      },
      answer: (owner, id, answer) => this.desk.answer(owner, id, answer),
    });
    this.desk.open(dispatcher);
    directory.noteLead(this.claim(now)!);
    observer.recordStateChange('fallback_begun', {
      zone,
      token,
      workers: this.book.entries.size,
      revision: this.revision,
      silent_ms: Math.round(now - this.leadSeenAt),
    });
  }

  private onBook(body: unknown, now: number): void {
    if (this.isDispatching || !v.is(PoolMessage.book, body)) return;
    const {reports, isWhole} = body;
    for (const report of reports) {
      if (report.zone === this.opts.zone) this.book.note(report, now);
    }
    if (isWhole) this.book.retain(new Set(reports.map(r => r.id)));
  }
}
