import type {AdminApi} from './admin_api.js';
import {BearerGuard} from './bearer_guard.js';
import type {HttpLimits} from './http_limits.js';
import {HttpServer} from './http_server.js';
import {decodeSegment} from './decode_segment.js';

interface AdminServerOptions {
  readonly host: string;
  readonly port: number;
  readonly limits?: HttpLimits | undefined;
  readonly token: string;
  readonly api: AdminApi;
  readonly onError: (detail: string) => void;
}

/** HTTP server for operators; every request requires the bearer token. */
export class AdminServer {
  readonly http: HttpServer;

  constructor(opts: AdminServerOptions) {
    const guard = new BearerGuard(opts.token);
    const {api} = opts;
    this.http = new HttpServer({
      ...opts,
      guard: (req, res) => guard.check(req, res),
    });
    const {http} = this;
    const {bodies} = http;
    for (const section of ['classes', 'tenants'] as const) {
      const entry = `/v1/${section}/:name`;
      http.route('GET', `/v1/${section}`, (_req, res) =>
        api.list(res, section),
      );
      http.route('GET', entry, (_req, res, {name = ''}) =>
        api.get(res, section, decodeSegment(name)),
      );
      http.route(
        'PUT',
        entry,
        (req, res, {name = ''}) =>
          api.put(req, res, bodies, section, decodeSegment(name)),
        {takesBody: true},
      );
      http.route('DELETE', entry, (req, res, {name = ''}) =>
        api.remove(req, res, section, decodeSegment(name)),
      );
    }
    http.route('GET', '/v1/status', (_req, res) => api.status(res));
    http.route('GET', '/v1/upstreams', (_req, res) => api.upstreams(res));
    http.route('GET', '/v1/histograms', (_req, res) => api.histograms(res));
    http.route('POST', '/v1/drain', (_req, res) => api.drain(res));
    http.route('GET', '/v1/zones', (_req, res) => api.zones(res));
    http.route(
      'PUT',
      '/v1/zones/:name',
      (req, res, {name = ''}) =>
        api.putZone(req, res, bodies, decodeSegment(name)),
      {takesBody: true},
    );
    http.route('GET', '/v1/voters', (_req, res) => api.voters(res));
    http.route(
      'POST',
      '/v1/voters',
      (req, res) => api.changeVoters(req, res, bodies),
      {takesBody: true},
    );
  }

  get port(): number {
    return this.http.port;
  }
}
