import type {CallerApi} from './caller_api.js';
import type {HttpLimits} from './http_limits.js';
import {HttpServer} from './http_server.js';
import {sendJson} from './send_json.js';
import type {WorkerApi} from './worker_api.js';

interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly limits?: HttpLimits | undefined;
  readonly callers: CallerApi;
  readonly workers: WorkerApi;
  /** Returns whether a load balancer should route new requests to this node. */
  readonly isReady: () => boolean;
  readonly onError: (detail: string) => void;
}

/** HTTP server for callers and upstreams. */
export class CallerServer {
  readonly http: HttpServer;

  constructor(opts: CallerServerOptions) {
    this.http = new HttpServer(opts);
    const {callers, workers, isReady} = opts;
    const {http} = this;
    const {bodies} = http;
    http.route('GET', '/healthz', (_req, res) => {
      const ready = isReady();
      sendJson(res, ready ? 200 : 503, {ready});
    });
    http.route('POST', '/v1/keys', (_req, res) => callers.createKey(res));
    http.route(
      'POST',
      '/v1/jobs',
      (req, res) => callers.submit(req, res, bodies),
      {takesBody: true},
    );
    http.route('GET', '/v1/jobs/:key', (req, res, {key}) =>
      callers.fetch(res, key ?? '', waitOf(req.url)),
    );
    http.route('DELETE', '/v1/jobs/:key', (_req, res, {key}) =>
      callers.change(res, key ?? '', 'cancel'),
    );
    http.route('POST', '/v1/jobs/:key/ack', (_req, res, {key}) =>
      callers.change(res, key ?? '', 'acknowledge'),
    );
    http.route(
      'POST',
      '/v1/workers',
      (req, res) => workers.announce(req, res, bodies),
      {takesBody: true},
    );
  }

  get port(): number {
    return this.http.port;
  }

  start(): Promise<void> {
    return this.http.start();
  }

  /** Stops listening and waits until every open request has a response. */
  drain(): Promise<void> {
    return this.http.drain();
  }
}

function waitOf(url = ''): string {
  const at = url.indexOf('?');
  const query = new URLSearchParams(at < 0 ? '' : url.slice(at));
  return query.get('wait_ms') ?? '0';
}
