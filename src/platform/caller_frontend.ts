import type {IncomingMessage, ServerResponse} from 'node:http';
import type {HttpLimits} from '../adapter/http/http_limits.js';
import {HttpServer} from '../adapter/http/http_server.js';
import type {Clock} from '../core/clock/clock.js';
import type {EntryGateway} from '../core/pool/entry/entry_gateway.js';
import type {PoolAnswer} from '../core/pool/job/pool_answer.js';
import type {PoolObserver} from '../core/pool/pool_observer.js';
import type {RoutingTable} from '../core/routing/routing_table.js';
import {decodeJob} from './decode_job.js';
import {sendBodyError} from './send_body_error.js';
import {sendJson} from './send_json.js';
import {parseJobPath} from './parse_job_path.js';

const MAX_BODY_BYTES = 256 * 1024;
/** Time that a caller waits if it sends no `x-deadline-ms` header. */
const DEFAULT_DEADLINE_MS = 30_000;
/** Longer deadlines are shortened to this. */
const MAX_DEADLINE_MS = 3_600_000;
const UNSUPPORTED_RETRY_AFTER_S = 60;

interface CallerFrontendOptions {
  readonly host: string;
  readonly port: number;
  readonly limits?: HttpLimits;
  readonly clock: Clock;
  readonly gateway: EntryGateway;
  /** Latest queue configuration known to this node. */
  readonly routing: () => RoutingTable | undefined;
  readonly observer: PoolObserver;
  readonly onError: (detail: string) => void;
}

/**
 * HTTP API for callers: submits, queries and cancels jobs through the gateway.
 * A request whose path ends in a job id is about that job, any other about a
 * queue.
 */
export class CallerFrontend {
  readonly http: HttpServer;

  constructor(private readonly opts: CallerFrontendOptions) {
    const onConnection = () => opts.gateway.input.recordConnection();
    this.http = new HttpServer({...opts, onConnection});
    this.http.route('POST', '/*', (req, res) => this.submit(req, res), {
      takesBody: true,
    });
    this.http.route('GET', '/*', (req, res) => this.get(req, res));
    this.http.route('DELETE', '/*', (req, res) => this.cancel(req, res));
  }

  private async submit(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {gateway, observer} = this.opts;
    const body = await this.http.bodies.read(req, MAX_BODY_BYTES);
    if (body.isErr) return sendBodyError(res, body.error);
    const {path, id} = parseJobPath(req.url ?? '/');
    if (id === undefined) return sendJson(res, 404, {detail: 'no such queue'});
    const job = decodeJob(id, body.value);
    if (job.isErr) {
      const {kind, detail} = job.error;
      observer.recordJobEvent('job_refused', id, {reason: kind, detail});
      if (kind === 'invalid') return sendJson(res, 400, {detail});
      res.setHeader('retry-after', UNSUPPORTED_RETRY_AFTER_S);
      return sendJson(res, 503, {detail});
    }
    const patienceMs = getDeadlineMs(req);
    const host = getHost(req);
    const arrivedAt = this.opts.clock.now();
    const respond = (answer: PoolAnswer) => {
      this.recordAnswer(host, path, answer, arrivedAt);
      sendJobAnswer(res, answer);
    };
    res.once('close', () => {
      // The caller disconnected before its job was answered.
      if (!res.writableFinished) gateway.drop(id, respond);
    });
    gateway.submit({host, path, job: job.value, patienceMs}, respond);
  }

  private recordAnswer(
    host: string,
    path: string,
    answer: PoolAnswer,
    arrivedAt: number,
  ): void {
    const {clock, observer, routing} = this.opts;
    // Callers choose the path, so other paths share one series.
    const queue = routing()?.find(host, path)?.name ?? '';
    const reason = 'reason' in answer ? answer.reason : undefined;
    const tookMs = clock.now() - arrivedAt;
    observer.recordResponseTime(queue, answer.kind, tookMs, reason);
  }

  private async get(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {path, id} = parseJobPath(req.url ?? '/');
    const answer = await this.opts.gateway.query(
      id === undefined
        ? {kind: 'pending', host: getHost(req), path}
        : {kind: 'state', id},
    );
    if (!answer) return sendUnavailable(res);
    if (id !== undefined) {
      if (answer.found) return sendJson(res, 200, {state: 'running'});
      return sendJson(res, 410, {detail: 'no such job'});
    }
    if (!answer.found) return sendJson(res, 404, {detail: 'no such queue'});
    return sendJson(res, 200, {pending: answer.pending ?? 0});
  }

  private async cancel(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {path, id} = parseJobPath(req.url ?? '/');
    if (id === undefined) return sendJson(res, 404, {detail: 'no such job'});
    const answer = await this.opts.gateway.query({kind: 'cancel', path, id});
    if (!answer) return sendUnavailable(res);
    if (answer.found) return sendJson(res, 200, {state: 'cancelled'});
    return sendJson(res, 410, {detail: 'no such job'});
  }
}

/** How long the caller waits; the default if it sends no positive number. */
function getDeadlineMs({headers}: IncomingMessage): number {
  const deadlineMs = Number(headers['x-deadline-ms']);
  if (!(deadlineMs > 0)) return DEFAULT_DEADLINE_MS;
  return Math.min(deadlineMs, MAX_DEADLINE_MS);
}

function getHost(req: IncomingMessage): string {
  return (req.headers.host ?? '').split(':')[0]!;
}

function sendJobAnswer(res: ServerResponse, answer: PoolAnswer): void {
  switch (answer.kind) {
    case 'completed':
    case 'failed':
    case 'cancelled':
      return sendJson(res, 200, {state: answer.kind});
    case 'no_queue':
      return sendJson(res, 404, {detail: 'no such queue'});
    case 'refused': {
      const seconds = Math.max(1, Math.ceil(answer.retryAfterMs / 1_000));
      res.setHeader('retry-after', seconds);
      return sendJson(res, 503, {detail: answer.reason});
    }
    case 'given_up':
      return sendJson(res, 504, {detail: answer.reason});
  }
}

function sendUnavailable(res: ServerResponse): void {
  res.setHeader('retry-after', 1);
  sendJson(res, 503, {detail: 'no leader is reachable'});
}
