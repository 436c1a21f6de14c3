import * as v from 'valibot';
import type {Clock} from '../clock/clock.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {AnswerCache} from './answer_cache.js';
import type {NodeDirectory} from './node_directory.js';
import type {PoolAnswer} from './pool_answer.js';
import {PoolDispatcher} from './pool_dispatcher.js';
import {PoolMessage} from './pool_message.js';
import type {PoolObserver} from './pool_observer.js';
import {PoolSubmission} from './pool_submission.js';
import {WorkerBook} from './worker_book.js';
import type {WorkerClient} from './worker_client.js';
import {WorkerReport} from './worker_report.js';

/** A lead that no majority has confirmed for this long gives no orders. */
const ORDER_FRESH_MS = 250;
const LEAD_PRESENCE_MS = 200;
const PRESENCE_MS = 1_000;
/** Interval of nodes that have found no lead. */
const SEEKING_MS = 150;
const BOOK_INTERVAL_MS = 2_000;
/** A book that was whole this recently counts as complete. */
const BOOK_AGE_MS = 5_000;
/** Jobs of an entry node that was silent for this long are dropped. */
const OWNER_SILENCE_MS = 1_200;
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

interface LeadServiceOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly directory: NodeDirectory;
  readonly leaseMs: number;
  /** Address to which workers may report directly. */
  readonly reportAddress: string;
  /** The node's lead of the replicated log, if it has it. */
  readonly lead: (now: number) => LeadState | undefined;
  readonly routing: () => RoutingTable | undefined;
  readonly observer: PoolObserver;
}

/**
 * A core node's part in the pool: dispatches while the node leads the log, and
 * keeps the book of workers for the case that it leads next.
 */
export class LeadService {
  private readonly book = new WorkerBook();
  private dispatcher: PoolDispatcher | undefined;
  private term = 0;
  private readonly ownersSeen = new Map<string, number>();
  private readonly answers = new AnswerCache();
  private nextPresence = 0;
  private nextBook = 0;
  private wholeBookAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly opts: LeadServiceOptions) {
    const {peers} = opts;
    peers.onMessage('pool.presence', (from, body, now) =>
      this.onPresence(from, body, now),
    );
    peers.onMessage('pool.submit', (from, body, now) =>
      this.onSubmit(from, body, now),
    );
    peers.onMessage('pool.poll', (from, body, now) =>
      this.onPoll(from, body, now),
    );
    peers.onMessage('pool.drop', (from, body) => {
      if (!v.is(PoolMessage.drop, body)) return;
      this.dispatcher?.drop(body.id, from, body.reason);
    });
    peers.onMessage('pool.book', (_from, body, now) => this.onBook(body, now));
    peers.onMessage('pool.left', (_from, body, now) => {
      if (v.is(PoolMessage.left, body)) this.book.remove(body.id, now);
    });
    peers.onRequest('pool.report', (_from, body) => this.onReport(body));
    peers.onRequest('pool.leave', (_from, body) => this.onLeave(body));
    peers.onRequest('pool.ask', (_from, body) => this.onAsk(body));
  }

  get isLeading(): boolean {
    return this.dispatcher !== undefined;
  }

  get openJobs(): number {
    return this.dispatcher?.openJobs ?? 0;
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
    const {dispatcher} = this;
    if (dispatcher) {
      dispatcher.dropOwners(owner => {
        const seenAt = this.ownersSeen.get(owner) ?? 0;
        return now - seenAt > OWNER_SILENCE_MS;
      });
      dispatcher.tick(now);
      this.answers.expire(now);
    }
    if (now >= this.nextPresence) this.sendPresence(now);
    if (dispatcher && now >= this.nextBook) {
      this.nextBook = now + BOOK_INTERVAL_MS;
      const reports = [...this.book.entries.values()].map(e => e.report);
      this.sendBook(reports, true, now);
    }
  }

  /** Stops dispatching, before a planned stop. */
  close(): void {
    this.dispatcher?.close();
    this.dispatcher = undefined;
  }

  private followLead(now: number): void {
    const {clock, client, leaseMs, routing, observer, lead} = this.opts;
    const state = lead(now);
    const isSame = state?.isSettled && state.term === this.term;
    if (this.dispatcher && !isSame) {
      observer.believed('lead_lost', {term: this.term});
      this.close();
    }
    if (!state?.isSettled || this.dispatcher) return;
    this.term = state.term;
    this.answers.clear();
    this.ownersSeen.clear();
    const isBookComplete = now - this.wholeBookAt < BOOK_AGE_MS;
    observer.believed('lead_won', {
      term: state.term,
      workers: this.book.entries.size,
      is_book_complete: isBookComplete,
      confirmed_ms_ago: Math.round(now - state.confirmedAt),
      silent_ms: Math.round(state.silentMs),
    });
    this.dispatcher = new PoolDispatcher({
      clock,
      client,
      book: this.book,
      term: state.term,
      leaseMs,
      isBookComplete,
      // An earlier lead ordered until it was no longer fresh, and its last
      // lease began then.
      earlierLeasesMs: ORDER_FRESH_MS + leaseMs - state.silentMs,
      mayOrder: at => {
        const current = lead(at);
        return (
          current?.term === state.term &&
          at - current.confirmedAt < ORDER_FRESH_MS
        );
      },
      routing,
      answer: (owner, id, answer) => this.answer(owner, id, answer),
      observer,
    });
    this.nextPresence = now;
    this.nextBook = now;
  }

  private answer(owner: string, id: string, answer: PoolAnswer): void {
    this.answers.set(id, answer, this.opts.clock.now());
    this.opts.peers.send(owner, 'pool.answer', {id, answer});
  }

  private onSubmit(from: string, body: unknown, now: number): void {
    const {dispatcher} = this;
    if (!dispatcher || !v.is(PoolSubmission, body)) return;
    this.ownersSeen.set(from, now);
    // A caller that hands an answered job in again wants it to run again.
    this.answers.delete(body.job.id);
    dispatcher.submit(from, body);
  }

  private onPoll(from: string, body: unknown, now: number): void {
    const {dispatcher} = this;
    if (!dispatcher || !v.is(PoolMessage.poll, body)) return;
    this.ownersSeen.set(from, now);
    const unknown: string[] = [];
    for (const id of body.ids) {
      const known = this.answers.get(id);
      if (known) {
        this.opts.peers.send(from, 'pool.answer', {id, answer: known});
      } else if (!dispatcher.has(id)) unknown.push(id);
    }
    if (unknown.length === 0) return;
    this.opts.peers.send(from, 'pool.unknown', {ids: unknown});
  }

  private onPresence(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(PoolMessage.presence, body);
    if (!parsed.success) return;
    this.notePresence(from, parsed.output, now);
  }

  private notePresence(
    from: string,
    body: v.InferOutput<typeof PoolMessage.presence>,
    now: number,
  ): void {
    const {directory} = this.opts;
    const isNew = directory.note(from, body.role, now);
    directory.noteRumour(body.cores, 'core', now);
    directory.noteRumour(body.entries, 'entry', now);
    // A new node, and those that have not heard of it, need not wait.
    if (isNew) this.nextPresence = now;
    if (body.role !== 'core') return;
    const {term, reportAddress} = body;
    if (term === undefined) directory.noteNoLead(from);
    else directory.noteLead({node: from, term, reportAddress, heardAt: now});
  }

  private sendPresence(now: number): void {
    const {directory, node, peers, reportAddress} = this.opts;
    const isLeading = this.dispatcher !== undefined;
    const otherMs = directory.lead(now) ? PRESENCE_MS : SEEKING_MS;
    this.nextPresence = now + (isLeading ? LEAD_PRESENCE_MS : otherMs);
    const cores = directory.coreIds(now).filter(id => id !== node);
    const body = {
      role: 'core',
      cores: directory.heardIds('core', now),
      entries: directory.heardIds('entry', now),
      ...(isLeading ? {term: this.term, reportAddress} : {}),
    };
    if (isLeading) {
      const lead = {node, term: this.term, reportAddress, heardAt: now};
      directory.noteLead(lead);
    }
    for (const id of [...cores, ...directory.entryIds(now)]) {
      peers.send(id, 'pool.presence', body);
    }
  }

  private onBook(body: unknown, now: number): void {
    if (this.dispatcher || !v.is(PoolMessage.book, body)) return;
    for (const report of body.reports) this.book.note(report, now);
    if (body.isWhole) this.wholeBookAt = now;
  }

  private sendBook(
    reports: readonly WorkerReport[],
    isWhole: boolean,
    now: number,
  ): void {
    const {directory, node, peers} = this.opts;
    for (const id of directory.coreIds(now)) {
      if (id !== node) peers.send(id, 'pool.book', {reports, isWhole});
    }
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
    if (!this.dispatcher || !v.is(WorkerReport, body)) {
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
      this.sendBook([body], false, now);
      this.opts.observer.believed('worker_report', {
        worker: body.id,
        draining: body.isDraining,
        sequence: body.sequence,
      });
      this.dispatcher.tick(now);
    }
    return Promise.resolve(reportAddress);
  }

  private onLeave(body: unknown): Promise<unknown> {
    if (!this.dispatcher || !v.is(PoolMessage.left, body)) {
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

  private onAsk(body: unknown): Promise<unknown> {
    const {dispatcher} = this;
    const table = this.opts.routing();
    if (!dispatcher || !table || !v.is(PoolMessage.ask, body)) {
      return Promise.resolve(undefined);
    }
    switch (body.kind) {
      case 'cancel':
        return Promise.resolve({found: dispatcher.cancel(body.id)});
      case 'state':
        return Promise.resolve({found: dispatcher.has(body.id)});
      case 'pending': {
        const queue = table.find(body.host, body.path);
        const isOwn = queue?.prefix === body.path;
        return Promise.resolve(
          queue && isOwn
            ? {found: true, pending: dispatcher.pendingOf(queue.name)}
            : {found: false},
        );
      }
    }
  }
}
