import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import restana from 'restana';
import {RunOutcome} from '../../core/job/run_outcome.js';
import {checkBodyHeaders} from './check_body_headers.js';
import {checkRequest} from './check_request.js';
import {ConnectionTracker} from './connection_tracker.js';
import type {HttpLimits} from './http_limits.js';
import {JsonBodyReader} from './json_body_reader.js';
import {MAX_HEADER_LINES} from './max_header_lines.js';
import type {Problem} from './problem.js';
import {sendProblem} from './send_problem.js';

/** Factor of the connections that may be open for a moment. */
const MAX_CONNECTION_EXCESS = 1.25;
const MAX_HEADER_BYTES = 16 * 1024;
/** Interval at which Node checks for connections that exceed a timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const TCP_KEEP_ALIVE_MS = 10_000;
/** Number of cached routes; paths contain job keys and rarely repeat. */
const ROUTE_CACHE_SIZE = 256;
const METHODS = ['GET', 'POST', 'PUT', 'DELETE'] as const;

type Method = (typeof METHODS)[number];

interface HttpServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly limits?: HttpLimits | undefined;
  /** Checks a request before it is routed, for example its bearer token. */
  readonly guard?: (
    req: IncomingMessage,
    res: ServerResponse,
  ) => Problem | undefined;
  /** Called when a connection was accepted. */
  readonly onConnection?: () => void;
  readonly onError: (detail: string) => void;
}

interface RouteOptions {
  /** Whether the request has a JSON body. Default false. */
  readonly takesBody?: boolean;
}

type Handler = (
  req: IncomingMessage,
  res: ServerResponse,
  params: Readonly<Record<string, string>>,
) => void | Promise<void>;

/**
 * HTTP server that responds to malformed requests with a problem document and
 * completes open requests before it stops.
 */
export class HttpServer {
  readonly bodies: JsonBodyReader;
  private readonly server: Server;
  private readonly app: restana.Service<restana.Protocol.HTTP>;
  private readonly connections: ConnectionTracker;

  constructor(private readonly opts: HttpServerOptions) {
    const {limits = {}} = opts;
    const {maxTotalBodyBytes: maxTotalBytes} = limits;
    this.bodies = new JsonBodyReader(
      maxTotalBytes === undefined ? {} : {maxTotalBytes},
    );
    this.server = createServer({
      headersTimeout: limits.headersTimeoutMs ?? 5_000,
      requestTimeout: limits.requestTimeoutMs ?? 30_000,
      keepAliveTimeout: limits.keepAliveTimeoutMs ?? 60_000,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
      // `checkRequest` reports a missing Host header as a problem document.
      requireHostHeader: false,
    });
    const {maxConnections = 10_000} = limits;
    // Closed connections keep their descriptors until the end of the turn.
    this.server.maxConnections = MAX_CONNECTION_EXCESS * maxConnections;
    // `checkRequest` refuses requests with more lines.
    this.server.maxHeadersCount = MAX_HEADER_LINES + 1;
    this.server.timeout = limits.socketTimeoutMs ?? 90_000;
    this.server.on('connection', () => opts.onConnection?.());
    this.connections = new ConnectionTracker(this.server, {
      maxConnections,
      maxRequests: limits.maxRequestsPerConnection ?? 100_000,
    });
    this.app = restana<restana.Protocol.HTTP>({
      routerCacheSize: ROUTE_CACHE_SIZE,
      defaultRoute: (req, res) => this.handleUnmatched(req, res),
      errorHandler: (err, _req, res) => this.handleError(err, res),
    });
    this.server.on('request', (req, res) => this.handle(req, res));
    this.server.on('checkExpectation', (req, res) => {
      this.connections.addRequest(req, res);
      sendProblem(res, UNSUPPORTED_EXPECTATION);
    });
  }

  /** Port on which the server listens; differs from the option if that is 0. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Adds a route; `:name` in the path matches one segment. */
  route(
    method: Method,
    path: string,
    handler: Handler,
    {takesBody = false}: RouteOptions = {},
  ): void {
    const register = method.toLowerCase() as Lowercase<Method>;
    this.app[register](path, (req, res) => {
      const problem = checkBodyHeaders(req, takesBody);
      if (problem) return sendProblem(res, problem);
      return handler(req, res, req.params);
    });
  }

  /** Routes as `METHOD/path`, in the order in which they were added. */
  routes(): readonly string[] {
    return this.app.routes();
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.opts.port, this.opts.host, () => {
        this.server.off('error', reject);
        this.server.on('error', err => this.opts.onError(String(err)));
        resolve();
      });
    });
  }

  /** Keeps serving, but closes each connection after its next response. */
  announceDrain(): void {
    this.connections.closeAfterResponses();
  }

  /** Stops listening and waits until every open request has a response. */
  async drain(): Promise<void> {
    this.announceDrain();
    // A closed server no longer checks its timeouts, so one incomplete request
    // would keep it from closing forever.
    const timer = setTimeout(
      () => this.connections.failIncompleteRequests(),
      this.server.requestTimeout,
    );
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
    clearTimeout(timer);
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    if (!this.connections.addRequest(req, res)) return;
    const problem = checkRequest(req) ?? this.opts.guard?.(req, res);
    if (problem) return sendProblem(res, problem);
    try {
      this.app.handle(req as never, res as never);
    } catch (err) {
      this.handleError(err, res);
    }
  }

  private handleUnmatched(req: IncomingMessage, res: ServerResponse): void {
    const path = (req.url ?? '/').split('?')[0]!;
    const router = this.app.getRouter() as unknown as {
      find(method: string, path: string): {handlers: unknown[]};
    };
    const allowed = METHODS.filter(
      method => router.find(method, path).handlers.length > 0,
    );
    const outcome = RunOutcome.notRun;
    if (allowed.length > 0) {
      res.setHeader('allow', allowed.join(', '));
      const detail = `${path} allows ${allowed.join(', ')}`;
      const code = 'method_not_allowed';
      return sendProblem(res, {status: 405, code, outcome, detail});
    }
    const detail = `no route for ${req.method} ${path}`;
    sendProblem(res, {status: 404, code: 'no_route', outcome, detail});
  }

  private handleError(err: unknown, res: ServerResponse): void {
    this.opts.onError(err instanceof Error ? `${err.stack}` : String(err));
    sendProblem(res, INTERNAL_ERROR);
    if (!res.writableEnded) res.destroy();
  }
}

const UNSUPPORTED_EXPECTATION: Problem = {
  status: 417,
  code: 'invalid',
  outcome: RunOutcome.notRun,
  detail: 'the only supported expectation is 100-continue',
};
const INTERNAL_ERROR: Problem = {
  status: 500,
  code: 'internal',
  outcome: RunOutcome.unknown,
  detail: 'internal error',
};
