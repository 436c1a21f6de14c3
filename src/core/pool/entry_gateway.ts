import * as v from 'valibot';
import type {Clock} from '../clock/clock.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import {LeadTiming} from './lead_timing.js';
import type {NodeDirectory} from './node_directory.js';
import type {PoolAnswer} from './pool_answer.js';
import {longestChainMs} from './longest_chain_ms.js';
import type {PoolJob} from './pool_job.js';
import type {PoolLead} from './pool_lead.js';
import {PoolMessage} from './pool_message.js';
import type {PoolObserver} from './pool_observer.js';
import {retryAfterMs} from './retry_after.js';

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
/**
 * A new lead or a fallback has begun before; later, jobs of a lost lead are
 * given up.
 */
const ORPHAN_MS = 2_300;
/**
 * What one dispatcher began may run on for this long after another has taken
 * over its workers: a lease on a slow clock.
 */
const SETTLE_MS = 800;
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
  /** The dispatcher that has it; undefined if it was never handed in. */
  holder: PoolLead | undefined;
  handedAt: number;
  /** Until when an earlier dispatcher may still run parts of it. */
  settlesAt: number;
  /** How long it waits for a lead. */
  readonly holdMs: number;
  /** Whether more than one lead has been given it. */
  wasHandedOver: boolean;
}

interface EntryGatewayOptions {
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
  private nextPoll = 0;
  private lastLead: PoolLead | undefined;
  private leadSeenAt = Number.NEGATIVE_INFINITY;
  /** When the lead of the log was last heard. */
  private logLeadSeenAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly opts: EntryGatewayOptions) {
    const {peers} = opts;
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

  get hasDispatcher(): boolean {
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
      holder: undefined,
      handedAt: 0,
      settlesAt: 0,
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
  async query(
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
    const lead = this.opts.directory.lead(now);
    if (lead) this.leadSeenAt = now;
    if (lead && !lead.isFallback) this.logLeadSeenAt = lead.heardAt;
    if (!isSame(lead, this.lastLead)) {
      this.opts.observer.recordStateChange(
        lead ? 'lead_found' : 'lead_silent',
        {
          term: lead?.term ?? this.lastLead?.term,
          lead: lead?.node,
          is_fallback: lead?.isFallback,
          open: this.open.size,
        },
      );
    }
    this.lastLead = lead;
    for (const job of [...this.open.values()]) this.tend(job, lead, now);
    const isHeard = lead && now - lead.heardAt < LeadTiming.QUIET_MS;
    if (isHeard && now >= this.nextPoll) {
      this.nextPoll = now + POLL_MS;
      this.poll(lead.node, now);
    }
  }

  private tend(job: OpenJob, lead: PoolLead | undefined, now: number): void {
    const {holder} = job;
    if (now >= job.deadlineAt - ANSWER_MARGIN_MS) {
      this.giveUp(job);
    } else if (lead && !isSame(lead, holder)) {
      if (this.isOverWith(holder, now)) this.handIn(job, now);
    } else if (!lead && now - job.arrivedAt > job.holdMs) {
      if (!holder) this.refuse(job, 'no_lead');
      else if (now - this.leadSeenAt > ORPHAN_MS) this.orphan(job);
    }
  }

  /** Whether a job may be handed to another dispatcher than the one it has. */
  private isOverWith(holder: PoolLead | undefined, now: number): boolean {
    if (!holder || holder.isFallback || !this.lastLead?.isFallback) return true;
    // A fallback does not look at the workers of other zones.
    return now - this.logLeadSeenAt >= LeadTiming.OVER_MS;
  }

  /** A lead that is gone may have run it; the caller decides what next. */
  private orphan(job: OpenJob): void {
    this.opts.observer.recordJobEvent('job_given_up', job.id, {
      reason: 'lead_lost',
      lead: job.holder?.node,
      lead_silent_ms: Math.round(this.opts.clock.now() - this.leadSeenAt),
    });
    this.settle(job.id, {kind: 'given_up', reason: 'lead_lost'});
  }

  private giveUp(job: OpenJob): void {
    if (!job.holder) {
      this.refuse(job, 'no_lead');
      return;
    }
    this.tellDropped(job, 'deadline');
    this.settle(job.id, {kind: 'given_up', reason: 'deadline'});
  }

  private refuse(job: OpenJob, reason: string): void {
    const {observer, clock} = this.opts;
    const now = clock.now();
    observer.recordJobEvent('job_refused', job.id, {
      reason,
      waited_ms: Math.round(now - job.arrivedAt),
    });
    const retryMs = retryAfterMs(job.id, RETRY_AFTER_MS);
    this.settle(job.id, {kind: 'refused', reason, retryAfterMs: retryMs});
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
    const {holder} = job;
    job.wasHandedOver ||= holder !== undefined;
    job.holder = lead;
    job.handedAt = now;
    // A successor looks at all workers before it starts anything; a lead that
    // takes a zone back does not.
    if (holder?.isFallback && !isSame(holder, lead)) {
      job.settlesAt = now + SETTLE_MS;
    }
    peers.send(lead.node, 'pool.submit', {
      host: job.host,
      path: job.path,
      job: job.job,
      waitedMs: now - job.arrivedAt,
      patienceMs: Math.max(0, job.deadlineAt - now),
      settleMs: Math.max(0, job.settlesAt - now),
      revision: lead.isFallback ? (directory.lastLead?.revision ?? 0) : 0,
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
}

/** Whether two claims are of one dispatcher, whose token may have risen. */
function isSame(a: PoolLead | undefined, b: PoolLead | undefined): boolean {
  if (!a || !b) return a === b;
  if (a.isFallback !== b.isFallback || a.node !== b.node) return false;
  return a.isFallback ? a.token === b.token : a.term === b.term;
}

const Reply = v.object({
  found: v.boolean(),
  pending: v.optional(v.number()),
});
