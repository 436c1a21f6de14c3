import * as v from 'valibot';
import type {Clock} from '../clock/clock.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {AnswerCache} from './answer_cache.js';
import {LeadTiming} from './lead_timing.js';
import type {PoolAnswer} from './pool_answer.js';
import type {PoolDispatcher} from './pool_dispatcher.js';
import {PoolMessage} from './pool_message.js';
import {PoolSubmission} from './pool_submission.js';

interface JobDeskOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly routing: () => RoutingTable | undefined;
}

/**
 * Serves the entry nodes for the dispatcher of this node, while it has one:
 * takes their jobs and questions, and sends and keeps the answers.
 */
export class JobDesk {
  private current: PoolDispatcher | undefined;
  private readonly ownersSeen = new Map<string, number>();
  private readonly answers = new AnswerCache();

  constructor(private readonly opts: JobDeskOptions) {
    const {peers} = opts;
    peers.onMessage('pool.submit', (from, body, now) =>
      this.onSubmit(from, body, now),
    );
    peers.onMessage('pool.poll', (from, body, now) =>
      this.onPoll(from, body, now),
    );
    peers.onMessage('pool.drop', (from, body) => {
      if (!v.is(PoolMessage.drop, body)) return;
      this.current?.drop(body.id, from, body.reason);
    });
    peers.onRequest('pool.ask', (_from, body) =>
      Promise.resolve(this.onAsk(body)),
    );
  }

  get dispatcher(): PoolDispatcher | undefined {
    return this.current;
  }

  /** Begins to serve for a dispatcher that answers through `answer`. */
  open(dispatcher: PoolDispatcher): void {
    this.current = dispatcher;
    this.answers.clear();
    this.ownersSeen.clear();
  }

  close(): void {
    this.current?.close();
    this.current = undefined;
  }

  tick(now: number): void {
    const {current} = this;
    if (!current) return;
    current.dropOwners(owner => {
      const seenAt = this.ownersSeen.get(owner) ?? 0;
      return now - seenAt > LeadTiming.OWNER_SILENCE_MS;
    });
    current.tick(now);
    this.answers.expire(now);
  }

  /** Sends the answer of a job to the entry node that waits for it. */
  answer(owner: string, id: string, answer: PoolAnswer): void {
    this.answers.set(id, answer, this.opts.clock.now());
    this.opts.peers.send(owner, 'pool.answer', {id, answer});
  }

  private onSubmit(from: string, body: unknown, now: number): void {
    const {current} = this;
    if (!current || !v.is(PoolSubmission, body)) return;
    this.ownersSeen.set(from, now);
    // A caller that hands an answered job in again wants it to run again.
    this.answers.delete(body.job.id);
    current.submit(from, body);
  }

  private onPoll(from: string, body: unknown, now: number): void {
    const {current} = this;
    if (!current || !v.is(PoolMessage.poll, body)) return;
    this.ownersSeen.set(from, now);
    const unknown: string[] = [];
    for (const id of body.ids) {
      const known = this.answers.get(id);
      if (known) {
        this.opts.peers.send(from, 'pool.answer', {id, answer: known});
      } else if (!current.has(id)) unknown.push(id);
    }
    if (unknown.length === 0) return;
    this.opts.peers.send(from, 'pool.unknown', {ids: unknown});
  }

  private onAsk(body: unknown): unknown {
    const {current} = this;
    const table = this.opts.routing();
    if (!current || !table || !v.is(PoolMessage.ask, body)) return undefined;
    switch (body.kind) {
      case 'cancel':
        return {found: current.cancel(body.id)};
      case 'state':
        return {found: current.has(body.id)};
      case 'pending': {
        const queue = table.find(body.host, body.path);
        return queue?.prefix === body.path
          ? {found: true, pending: current.pendingOf(queue.name)}
          : {found: false};
      }
    }
  }
}
