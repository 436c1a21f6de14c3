import * as v from 'valibot';
import type {Clock} from '../clock/clock.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {NodeDirectory} from './node_directory.js';
import type {PoolAnswer} from './pool_answer.js';
import {longestChainMs} from './longest_chain_ms.js';
import type {PoolJob} from './pool_job.js';
import {PoolMessage} from './pool_message.js';
import type {PoolObserver} from './pool_observer.js';

const PRESENCE_MS = 1_000;
/** Interval of a node that has found no lead. */
const SEEKING_MS = 150;
/** Interval at which the lead is asked about open jobs. */
const POLL_MS = 300;
/** A job that was handed in this recently may still be on its way. */
const IN_FLIGHT_MS = 250;
/**
 * A job that no lead is found for is refused once a start would come too late
 * for its caller: after this share of its ideal run time, and this time more.
 */
const HOLD_SHARE = 0.9;
const HOLD_MS = 100;
/** No takeover is worth a longer wait. */
const MAX_HOLD_MS = 1_200;
/** The caller gets an answer this long before it stops waiting. */
const ANSWER_MARGIN_MS = 20;
/** A takeover takes less; later, jobs of a lost lead are given up. */
const ORPHAN_MS = 1_500;
const ASK_TIMEOUT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

interface OpenJob {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly job: PoolJob;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  respond: (answer: PoolAnswer) => void;
  /** Term of the lead that has it; undefined if it was never handed in. */
  term: number | undefined;
  handedAt: number;
  /** How long it waits for a lead. */
  readonly holdMs: number;
  /** Whether more than one lead has been given it. */
  wasHandedOver: boolean;
}

interface EntryGatewayOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly observer: PoolObserver;
}

interface NewJob {
  readonly host: string;
  readonly path: string;
  readonly job: PoolJob;
  readonly patienceMs: number;
}

/**
 * An entry node's part in the pool: holds the callers' requests, brings each
 * job to the lead of the day, and hands it in again when the lead changes.
 */
export class EntryGateway {
  private readonly open = new Map<string, OpenJob>();
  private nextPresence = 0;
  private nextPoll = 0;
  private leadTerm = -1;
  private leadSeenAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly opts: EntryGatewayOptions) {
    const {peers} = opts;
    peers.onMessage('pool.presence', (from, body, now) =>
      this.onPresence(from, body, now),
    );
    peers.onMessage('pool.answer', (_from, body) => {
      if (v.is(PoolMessage.answer, body)) this.settle(body.id, body.answer);
    });
    peers.onMessage('pool.unknown', (_from, body, now) =>
      this.onUnknown(body, now),
    );
  }

  get openJobs(): number {
    return this.open.size;
  }

  get hasLead(): boolean {
    return this.opts.directory.lead(this.opts.clock.now()) !== undefined;
  }

  /** Takes a job; `respond` is called once unless it is dropped before. */
  submit(job: NewJob, respond: (answer: PoolAnswer) => void): void {
    const now = this.opts.clock.now();
    const {id} = job.job;
    const known = this.open.get(id);
    if (known) {
      known.respond({kind: 'given_up', reason: 'handed in again'});
      known.respond = respond;
      return;
    }
    const open: OpenJob = {
      ...job,
      id,
      arrivedAt: now,
      deadlineAt: now + job.patienceMs,
      respond,
      term: undefined,
      handedAt: 0,
      wasHandedOver: false,
      holdMs: Math.min(
        MAX_HOLD_MS,
        HOLD_MS + HOLD_SHARE * longestChainMs(job.job.steps),
      ),
    };
    this.open.set(id, open);
    this.handIn(open, now);
  }

  /** The caller of a job is gone. */
  drop(id: string, respond: (answer: PoolAnswer) => void): void {
    const job = this.open.get(id);
    if (!job || job.respond !== respond) return;
    this.open.delete(id);
    this.tellDropped(job, 'caller_gone');
  }

  /** Asks the lead; undefined if it cannot tell. */
  async ask(
    question: v.InferOutput<typeof PoolMessage.ask>,
  ): Promise<{readonly found: boolean; readonly pending?: number} | undefined> {
    const {directory, clock, peers} = this.opts;
    const lead = directory.lead(clock.now());
    if (!lead) return undefined;
    const res = await peers.request(
      lead.node,
      'pool.ask',
      question,
      ASK_TIMEOUT_MS,
    );
    if (res.isErr) return undefined;
    const parsed = v.safeParse(Reply, res.value);
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
    const {directory, peers, node} = this.opts;
    const lead = directory.lead(now);
    const term = lead?.term ?? -1;
    if (lead) this.leadSeenAt = now;
    if (term !== this.leadTerm) {
      this.opts.observer.believed(lead ? 'lead_found' : 'lead_silent', {
        term,
        lead: lead?.node,
        open: this.open.size,
      });
      this.leadTerm = term;
    }
    for (const job of [...this.open.values()]) this.tend(job, term, now);
    if (now >= this.nextPresence) {
      this.nextPresence = now + (lead ? PRESENCE_MS : SEEKING_MS);
      const cores = directory.heardIds('core', now);
      const body = {role: 'entry', cores};
      for (const id of directory.coreIds(now)) {
        if (id === node) continue;
        peers.send(id, 'pool.presence', body);
      }
    }
    if (lead && now >= this.nextPoll) {
      this.nextPoll = now + POLL_MS;
      this.poll(lead.node, now);
    }
  }

  private tend(job: OpenJob, term: number, now: number): void {
    if (now >= job.deadlineAt - ANSWER_MARGIN_MS) {
      this.giveUp(job);
    } else if (term >= 0 && job.term !== term) {
      this.handIn(job, now);
    } else if (term < 0 && now - job.arrivedAt > job.holdMs) {
      if (job.term === undefined) this.refuse(job, 'no_lead');
      else if (now - this.leadSeenAt > ORPHAN_MS) {
        // A lead that is gone may have run it; the caller decides what next.
        this.settle(job.id, {kind: 'given_up', reason: 'lead_lost'});
      }
    }
  }

  private giveUp(job: OpenJob): void {
    if (job.term === undefined) {
      this.refuse(job, 'no_lead');
      return;
    }
    this.tellDropped(job, 'deadline');
    this.settle(job.id, {kind: 'given_up', reason: 'deadline'});
  }

  private refuse(job: OpenJob, reason: string): void {
    const {observer, clock} = this.opts;
    const now = clock.now();
    observer.decided('job_refused', job.id, {
      reason,
      waited_ms: Math.round(now - job.arrivedAt),
    });
    const retryAfterMs = RETRY_AFTER_MS;
    this.settle(job.id, {kind: 'refused', reason, retryAfterMs});
  }

  private settle(id: string, answer: PoolAnswer): void {
    const job = this.open.get(id);
    if (!job) return;
    // An earlier lead may have begun what the present one refuses.
    const isTrue = answer.kind !== 'refused' || !job.wasHandedOver;
    this.open.delete(id);
    job.respond(
      isTrue ? answer : {kind: 'given_up', reason: 'the lead changed'},
    );
  }

  private handIn(job: OpenJob, now: number): void {
    const {directory, peers} = this.opts;
    const lead = directory.lead(now);
    if (!lead) return;
    job.wasHandedOver ||= job.term !== undefined;
    job.term = lead.term;
    job.handedAt = now;
    peers.send(lead.node, 'pool.submit', {
      host: job.host,
      path: job.path,
      job: job.job,
      waitedMs: now - job.arrivedAt,
      patienceMs: Math.max(0, job.deadlineAt - now),
    });
  }

  private tellDropped(job: OpenJob, reason: string): void {
    const {directory, clock, peers} = this.opts;
    const lead = directory.lead(clock.now());
    if (!lead) return;
    peers.send(lead.node, 'pool.drop', {id: job.id, reason});
  }

  private poll(lead: string, now: number): void {
    const ids = [...this.open.values()]
      .filter(j => now - j.handedAt >= IN_FLIGHT_MS)
      .map(j => j.id);
    if (ids.length > 0) this.opts.peers.send(lead, 'pool.poll', {ids});
  }

  private onUnknown(body: unknown, now: number): void {
    if (!v.is(PoolMessage.unknown, body)) return;
    for (const id of body.ids) {
      const job = this.open.get(id);
      if (job && now - job.handedAt >= IN_FLIGHT_MS) this.handIn(job, now);
    }
  }

  private onPresence(from: string, body: unknown, now: number): void {
    if (!v.is(PoolMessage.presence, body)) return;
    const {directory} = this.opts;
    directory.note(from, body.role, now);
    directory.noteRumour(body.cores, 'core', now);
    const {term, reportAddress} = body;
    if (term === undefined) {
      directory.noteNoLead(from);
      return;
    }
    directory.noteLead({node: from, term, reportAddress, heardAt: now});
    this.tick(now);
  }
}

const Reply = v.object({
  found: v.boolean(),
  pending: v.optional(v.number()),
});
