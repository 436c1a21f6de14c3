import * as v from 'valibot';
import type {Clock} from '../clock/clock.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {LeadToken} from './lead_token.js';
import {JobDesk} from './job_desk.js';
import type {NodeDirectory} from './node_directory.js';
import {PoolDispatcher} from './pool_dispatcher.js';
import {PoolMessage} from './pool_message.js';
import type {PoolObserver} from './pool_observer.js';
import {WorkerBook} from './worker_book.js';
import {WorkerBookSender} from './worker_book_sender.js';
import {RelayChooser} from './relay/relay_chooser.js';
import {RelayedWorkerClient} from './relay/relayed_worker_client.js';
import type {WorkerClient} from './worker_client.js';
import {WorkerReport} from './worker_report.js';

/** A lead that no majority has confirmed for this long gives no orders. */
const ORDER_FRESH_MS = 250;
const LEAD_PRESENCE_MS = 200;
const PRESENCE_MS = 1_000;
/** Interval of nodes that have found no lead. */
const SEEKING_MS = 150;
/** A book that was whole this recently counts as complete. */
const BOOK_AGE_MS = 5_000;
/**
 * Within this time after the last lead was heard no fallback can have begun;
 * after it, its leases may last whatever the voters have heard.
 */
const NO_FALLBACK_MS = 1_500;
/** A worker waits a second for the answer to its report. */
const ASK_TIMEOUT_MS = 700;

interface LeadState {
  readonly term: number;
  /** When a majority last confirmed the lead. */
  readonly confirmedAt: number;
  /** Whether what earlier terms left is committed. */
  readonly isSettled: boolean;
  /** For how long before it no other node can have led, in ms. */
  readonly silentMs: number;
}

interface LeaderServiceOptions {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly directory: NodeDirectory;
  readonly leaseMs: number;
  /** Address to which workers may report directly. */
  readonly reportAddress: string;
  /** The node's lead of the replicated log, if it has it. */
  readonly leadership: (now: number) => LeadState | undefined;
  readonly routing: () => RoutingTable | undefined;
  readonly observer: PoolObserver;
}

/**
 * A core node's part in the pool: dispatches while the node leads the log, and
 * keeps the book of workers for the case that it leads next.
 */
export class LeaderService {
  private readonly book = new WorkerBook();
  private readonly bookSender: WorkerBookSender;
  private readonly desk: JobDesk;
  private readonly relays: RelayChooser;
  private readonly client: WorkerClient;
  private term = 0;
  private nextPresence = 0;
  private wholeBookAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly opts: LeaderServiceOptions) {
    const {peers} = opts;
    this.desk = new JobDesk(opts);
    const {clock, directory, client: direct} = opts;
    this.relays = new RelayChooser(directory, clock);
    this.client = new RelayedWorkerClient({
      peers,
      direct,
      chooser: this.relays,
    });
    this.bookSender = new WorkerBookSender({...opts, book: this.book});
    peers.onMessage('pool.presence', (from, body, now) =>
      this.onPresence(from, body, now),
    );
    peers.onMessage('pool.book', (_from, body, now) => this.onBook(body, now));
    peers.onMessage('pool.left', (_from, body, now) => {
      if (v.is(PoolMessage.left, body)) this.book.remove(body.id, now);
    });
    peers.onRequest('pool.report', (_from, body) => this.onReport(body));
    peers.onRequest('pool.leave', (_from, body) => this.onLeave(body));
  }

  get isLeading(): boolean {
    return this.desk.dispatcher !== undefined;
  }

  get openJobs(): number {
    return this.desk.dispatcher?.openJobs ?? 0;
  }

  /**
   * Takes a worker's report to the lead. Returns the address for later
   * reports, or undefined if no lead has taken it.
   */
  async report(report: WorkerReport): Promise<string | undefined> {
    const res = await this.askLead('pool.report', report);
    return typeof res === 'string' ? res : undefined;
  }

  /** Tells the lead that a worker leaves; false if no lead was reached. */
  async leave(id: string): Promise<boolean> {
    return (await this.askLead('pool.leave', {id})) === true;
  }

  tick(now: number): void {
    this.followLead(now);
    this.book.expire(now);
    this.raiseToken();
    if (this.isLeading) this.relays.setWorkers(this.book.reports);
    this.desk.tick(now);
    if (now >= this.nextPresence) this.sendPresence(now);
    if (this.isLeading) this.bookSender.tick(now);
  }

  /** Stops dispatching, before a planned stop. */
  close(): void {
    this.desk.close();
  }

  private followLead(now: number): void {
    const {routing, observer, leadership: lead} = this.opts;
    const state = lead(now);
    const isSame = state?.isSettled && state.term === this.term;
    if (this.isLeading && !isSame) {
      observer.recordStateChange('lead_lost', {term: this.term});
      this.close();
    }
    if (!state?.isSettled || this.isLeading) return;
    this.term = state.term;
    const isBookComplete = now - this.wholeBookAt < BOOK_AGE_MS;
    observer.recordStateChange('lead_won', {
      term: state.term,
      workers: this.book.entries.size,
      is_book_complete: isBookComplete,
      confirmed_ms_ago: Math.round(now - state.confirmedAt),
      silent_ms: Math.round(state.silentMs),
      revision: routing()?.content.revision,
    });
    this.desk.open(this.dispatcherOf(state, isBookComplete));
    this.nextPresence = now;
    this.bookSender.hurry();
  }

  private dispatcherOf(
    {term, silentMs}: LeadState,
    isBookComplete: boolean,
  ): PoolDispatcher {
    const {leaseMs, leadership: lead} = this.opts;
    const vouchedMs = silentMs < NO_FALLBACK_MS ? silentMs : 0;
    return new PoolDispatcher({
      ...this.opts,
      client: this.client,
      book: this.book,
      token: LeadToken.ofTerm(term),
      isBookComplete,
      // An earlier lead ordered until it was no longer fresh, and its last
      // lease began then.
      earlierLeasesMs: ORDER_FRESH_MS + leaseMs - vouchedMs,
      mayOrder: at => {
        const current = lead(at);
        return (
          current?.term === term && at - current.confirmedAt < ORDER_FRESH_MS
        );
      },
      answer: (owner, id, answer) => this.desk.answer(owner, id, answer),
    });
  }

  /** A fallback has served a zone meanwhile; its workers obey its token. */
  private raiseToken(): void {
    const {directory, observer} = this.opts;
    const {dispatcher} = this.desk;
    const {highestToken} = directory;
    if (!dispatcher || highestToken <= dispatcher.token) return;
    dispatcher.raiseToken(highestToken + 1);
    directory.noteToken(dispatcher.token);
    observer.recordStateChange('token_raised', {
      term: this.term,
      token: dispatcher.token,
    });
  }

  private onPresence(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(PoolMessage.presence, body);
    if (!parsed.success) return;
    const {directory} = this.opts;
    const {role, zone, cores, entries, highestToken, lead} = parsed.output;
    const isNew = directory.note(from, role, now, zone);
    directory.noteRumour(cores, 'core', now);
    directory.noteRumour(entries, 'entry', now);
    directory.noteToken(highestToken);
    if (role === 'entry') directory.noteRelay(from, parsed.output.relays);
    // A new node, and those that have not heard of it, need not wait.
    if (isNew) this.nextPresence = now;
    if (role !== 'core') return;
    if (lead) directory.noteLead({...lead, node: from, heardAt: now});
    else directory.noteNoLead(from);
  }

  private sendPresence(now: number): void {
    const {directory, node, zone, peers, reportAddress, routing} = this.opts;
    const {dispatcher} = this.desk;
    const otherMs = directory.lead(now) ? PRESENCE_MS : SEEKING_MS;
    this.nextPresence = now + (dispatcher ? LEAD_PRESENCE_MS : otherMs);
    const lead = dispatcher && {
      term: this.term,
      token: dispatcher.token,
      isFallback: false,
      reportAddress,
      revision: routing()?.content.revision ?? 0,
    };
    if (lead) directory.noteLead({...lead, node, heardAt: now});
    const entries = directory.heardIds('entry', now);
    const body = {
      role: 'core',
      zone,
      cores: directory.heardIds('core', now),
      highestToken: directory.highestToken,
      ...(lead ? {lead} : {}),
    };
    for (const id of directory.coreIds(now)) {
      if (id !== node) peers.send(id, 'pool.presence', {...body, entries});
    }
    for (const id of directory.entryIds(now)) {
      // An entry node needs to know those of its own zone only.
      const idZone = directory.zoneOf(id);
      const mates = entries.filter(e => directory.zoneOf(e) === idZone);
      peers.send(id, 'pool.presence', {...body, entries: mates});
    }
  }

  private onBook(body: unknown, now: number): void {
    if (!v.is(PoolMessage.book, body)) return;
    for (const report of body.reports) this.book.note(report, now);
    if (body.isWhole && !this.isLeading) this.wholeBookAt = now;
  }

  private async askLead(method: string, body: unknown): Promise<unknown> {
    const {directory, clock, peers} = this.opts;
    const lead = directory.lead(clock.now());
    if (!lead) return undefined;
    const res = await peers.request(lead.node, method, body, ASK_TIMEOUT_MS);
    return res.isOk ? res.value : undefined;
  }

  private onReport(body: unknown): Promise<unknown> {
    const {clock, reportAddress} = this.opts;
    const {dispatcher} = this.desk;
    if (!dispatcher || !v.is(WorkerReport, body)) {
      return Promise.resolve(undefined);
    }
    const now = clock.now();
    const known = this.book.entries.get(body.id)?.report;
    this.book.note(body, now);
    const isNews =
      !known ||
      known.isDraining !== body.isDraining ||
      known.address !== body.address ||
      known.bornAt !== body.bornAt;
    if (isNews) {
      this.bookSender.tell(body, now);
      this.opts.observer.recordStateChange('worker_report', {
        worker: body.id,
        draining: body.isDraining,
        sequence: body.sequence,
      });
      dispatcher.tick(now);
    }
    return Promise.resolve(reportAddress);
  }

  private onLeave(body: unknown): Promise<unknown> {
    if (!this.isLeading || !v.is(PoolMessage.left, body)) {
      return Promise.resolve(undefined);
    }
    const {clock, directory, node, peers} = this.opts;
    const now = clock.now();
    this.book.remove(body.id, now);
    for (const id of directory.coreIds(now)) {
      if (id !== node) peers.send(id, 'pool.left', body);
    }
    return Promise.resolve(true);
  }
}
