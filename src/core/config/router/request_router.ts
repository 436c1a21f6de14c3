import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import type {ChangeRefusal} from '../state/change_refusal.js';
import type {LogRequest} from './log_request.js';
import {LogRequest as LogRequestSchema} from './log_request.js';
import {LogResponse} from './log_response.js';

/** Longer than an election, which starts within 4 s of a lost leader. */
const DEADLINE_MS = 6_000;
/** Short, because the caller falls back to the node's own status. */
const STATUS_DEADLINE_MS = 1_500;
const RETRY_AFTER_MS = 1_000;
/** Time after which a request without a response is sent again. */
const ATTEMPT_TIMEOUT_MS = 1_000;

/**
 * Range of the random first request id. Two processes of a node use overlapping
 * ids with a probability of about one in a billion.
 */
const FIRST_ID_RANGE = 2 ** 48;

const Request = v.object({id: v.number(), request: LogRequestSchema});
const Response = v.object({id: v.number(), response: LogResponse});

type Done = (result: LogResponse | ChangeRefusal, now: number) => void;

interface Pending {
  readonly request: LogRequest;
  readonly done: Done;
  readonly deadline: number;
  /** Ids of the attempts that a leader may have executed. */
  readonly open: Set<number>;
  nextAttempt: number;
}

interface RequestRouterOptions {
  readonly node: string;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  readonly getLeader: () => string | undefined;
  readonly noteLeader: (node: string | undefined) => void;
  /** Serves a request on this node; `not_leader` if it is not the leader. */
  readonly serve: (
    request: LogRequest,
    now: number,
    respond: (response: LogResponse) => void,
  ) => void;
}

/**
 * Forwards requests to the log's leader. All requests are idempotent, so a
 * request without a response is sent again until its deadline.
 */
export class RequestRouter {
  private readonly pending = new Set<Pending>();
  private readonly attempts = new Map<number, Pending>();
  /**
   * Starts at a random id, because the leader may still respond to a request of
   * an earlier process of this node.
   */
  private nextId: number;

  constructor(private readonly opts: RequestRouterOptions) {
    const {peers, random} = opts;
    this.nextId = Math.floor(random.next() * FIRST_ID_RANGE);
    peers.onMessage('config.request', (from, body, now) =>
      this.onRequest(from, body, now),
    );
    peers.onMessage('config.response', (from, body, now) =>
      this.onResponse(from, body, now),
    );
  }

  /**
   * Calls `done` once, with a response or, at the deadline at the latest, with
   * the refusal `unavailable`.
   */
  submit(
    request: LogRequest,
    now: number,
    done: Done,
    deadline = now +
      (request.kind === 'status' ? STATUS_DEADLINE_MS : DEADLINE_MS),
  ): void {
    const pending: Pending = {
      request,
      done,
      deadline,
      open: new Set(),
      nextAttempt: now,
    };
    this.pending.add(pending);
    this.sendAttempt(pending, now);
  }

  /** Whether requests are pending because no leader is known. */
  get isWaitingForLeader(): boolean {
    return this.pending.size > 0 && this.opts.getLeader() === undefined;
  }

  tick(now: number): void {
    for (const pending of [...this.pending]) {
      if (now >= pending.deadline) this.expire(pending, now);
      else if (now >= pending.nextAttempt) this.sendAttempt(pending, now);
    }
  }

  private sendAttempt(pending: Pending, now: number): void {
    const leader = this.opts.getLeader();
    if (leader === undefined) return;
    const id = this.nextId;
    this.nextId += 1;
    const {request} = pending;
    pending.nextAttempt = now + ATTEMPT_TIMEOUT_MS;
    pending.open.add(id);
    this.attempts.set(id, pending);
    if (leader === this.opts.node) {
      this.opts.serve(request, now, res =>
        this.onAttemptResponse(id, res, now),
      );
      return;
    }
    this.opts.peers.send(leader, 'config.request', {id, request});
  }

  private onRequest(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(Request, body);
    if (!parsed.success) return;
    const {id, request} = parsed.output;
    this.opts.serve(request, now, response =>
      this.opts.peers.send(from, 'config.response', {id, response}),
    );
  }

  private onResponse(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(Response, body);
    if (!parsed.success) return;
    const {id, response} = parsed.output;
    if (response.kind === 'not_leader' && this.opts.getLeader() === from) {
      this.opts.noteLeader(response.leader);
    }
    this.onAttemptResponse(id, response, now);
  }

  private onAttemptResponse(
    id: number,
    response: LogResponse,
    now: number,
  ): void {
    const pending = this.attempts.get(id);
    if (!pending) return;
    this.attempts.delete(id);
    const isUnknown = response.kind === 'unknown';
    const isUnavailable =
      response.kind === 'refused' && response.refusal.code === 'unavailable';
    if (!isUnknown) pending.open.delete(id);
    // `unavailable` is final only if no earlier attempt may have succeeded.
    const shouldRetry =
      isUnknown ||
      response.kind === 'not_leader' ||
      (isUnavailable && pending.open.size > 0);
    if (shouldRetry) {
      pending.nextAttempt = Math.max(
        now,
        pending.nextAttempt - ATTEMPT_TIMEOUT_MS / 2,
      );
      return;
    }
    this.finish(pending, response, now);
  }

  private expire(pending: Pending, now: number): void {
    const isUnknown = pending.open.size > 0;
    const refusal: ChangeRefusal = {
      code: 'unavailable',
      outcome: isUnknown ? 'outcome_unknown' : 'not_made',
      detail: isUnknown
        ? 'the leader of the configuration log did not respond, and the ' +
          'change may still be accepted; resend it with the same key to check'
        : 'no leader of the configuration log can be reached',
      retryAfterMs: RETRY_AFTER_MS,
    };
    this.finish(pending, refusal, now);
  }

  private finish(
    pending: Pending,
    result: LogResponse | ChangeRefusal,
    now: number,
  ): void {
    this.pending.delete(pending);
    for (const id of pending.open) this.attempts.delete(id);
    pending.done(result, now);
  }
}
