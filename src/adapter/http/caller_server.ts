import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import restana from 'restana';
import type {CallerApi} from './caller_api.js';
import {sendJson} from './send_json.js';
import {sendProblem} from './send_problem.js';
import type {WorkerApi} from './worker_api.js';

const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 16 * 1024;

interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly callers: CallerApi;
  readonly workers: WorkerApi;
  /** Whether the balancer should send new requests here. */
  readonly isReady: () => boolean;
  readonly onError: (detail: string) => void;
}

/** The HTTP server for callers and upstreams. */
export class CallerServer {
  private readonly server: Server;
  /** Requests without an answer yet. */
  private readonly open = new Set<ServerResponse>();
  private isClosing = false;

  constructor(private readonly opts: CallerServerOptions) {
    this.server = createServer({
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    this.server.on('request', (_req, res: ServerResponse) => {
      this.open.add(res);
      res.once('close', () => this.open.delete(res));
      if (this.isClosing) res.setHeader('connection', 'close');
    });
    this.routes();
  }

  /** Port in use, for settings that ask for any free one. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.opts.port, this.opts.host, resolve);
    });
  }

  /**
   * Ends each connection with its next answer. A kept connection would hold up
   * the drain, and closing an idle one may cut a request that is on its way.
   */
  closeConnections(): void {
    this.isClosing = true;
    for (const res of this.open) {
      if (!res.headersSent) res.setHeader('connection', 'close');
    }
  }

  /** Stops listening and waits until every open request is answered. */
  async drain(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private routes(): void {
    const {callers, workers, isReady, onError} = this.opts;
    const app = restana({
      server: this.server,
      defaultRoute: (req, res) => {
        const detail = `no ${req.method} ${req.url}`;
        sendProblem(res, {status: 404, code: 'no_route', detail});
      },
      errorHandler: (err, _req, res) => {
        onError(String(err));
        const detail = 'internal error';
        sendProblem(res, {status: 500, code: 'internal', detail});
      },
    });
    app.get('/healthz', (_req, res) => {
      const ready = isReady();
      sendJson(res, ready ? 200 : 503, {ready});
    });
    app.post('/v1/keys', (_req, res) => callers.mintKey(res));
    app.post('/v1/jobs', (req, res) => callers.submit(req, res));
    app.get('/v1/jobs/:key', (req, res) =>
      callers.fetch(res, keyOf(req.params), waitOf(req)),
    );
    app.delete('/v1/jobs/:key', (req, res) =>
      callers.change(res, keyOf(req.params), 'cancel'),
    );
    app.post('/v1/jobs/:key/ack', (req, res) =>
      callers.change(res, keyOf(req.params), 'acknowledge'),
    );
    app.post('/v1/workers', (req, res) => workers.announce(req, res));
  }
}

function keyOf(params: Record<string, string>): string {
  return params['key'] ?? '';
}

function waitOf(req: IncomingMessage): string {
  const url = new URL(req.url ?? '/', 'http://localhost');
  return url.searchParams.get('wait_ms') ?? '0';
}
