import type {IncomingMessage, ServerResponse} from 'node:http';
import {decodeSegment} from '../adapter/http/decode_segment.js';
import type {HttpLimits} from '../adapter/http/http_limits.js';
import {HttpServer} from '../adapter/http/http_server.js';
import {watchCaller} from '../adapter/http/watch_caller.js';
import type {WorkerReportService} from '../core/pool/registry/worker_report_service.js';
import type {PoolObserver} from '../core/pool/pool_observer.js';
import type {ZoneEvacuations} from '../daemon/config/zone_evacuations.js';
import type {ConfigService} from '../daemon/config/config_service.js';
import {decodeNewConfig} from './decode_new_config.js';
import {decodeHeartbeat} from './decode_heartbeat.js';
import {sendBodyError} from './send_body_error.js';
import {sendJson} from './send_json.js';

/** A large configuration has hundreds of routes. */
const MAX_CONFIG_BYTES = 1024 * 1024;
const MAX_HEARTBEAT_BYTES = 64 * 1024;

const EVACUATION_CALLS = [
  ['/Evacuate.Start/:zone', true],
  ['/Evacuate.Finish/:zone', false],
] as const;

interface ControlFrontendOptions {
  readonly host: string;
  readonly port: number;
  readonly limits?: HttpLimits;
  readonly config: ConfigService;
  readonly evacuations: ZoneEvacuations;
  readonly reports: WorkerReportService;
  readonly observer: PoolObserver;
  readonly onError: (detail: string) => void;
}

/**
 * HTTP API for operators, who read and publish the configuration and evacuate
 * zones, and for workers, which send heartbeats and deregister.
 */
export class ControlFrontend {
  readonly http: HttpServer;

  constructor(private readonly opts: ControlFrontendOptions) {
    this.http = new HttpServer(opts);
    const body = {takesBody: true};
    this.http.route(
      'POST',
      '/Instances.Heartbeat/:id',
      (req, res, {id}) => this.heartbeat(req, res, id!),
      body,
    );
    this.http.route('POST', '/Instances.Leave/:id', (_req, res, {id}) =>
      this.leave(res, id!),
    );
    this.http.route(
      'POST',
      '/Config.Put',
      (req, res) => this.publish(req, res),
      body,
    );
    for (const [path, isEvacuated] of EVACUATION_CALLS) {
      this.http.route('POST', path, (_req, res, {zone}) =>
        this.evacuate(res, decodeSegment(zone!), isEvacuated),
      );
    }
    this.http.route('GET', '/Config.Get', (_req, res) => this.read(res));
  }

  private async heartbeat(
    req: IncomingMessage,
    res: ServerResponse,
    id: string,
  ): Promise<void> {
    const body = await this.http.bodies.read(req, MAX_HEARTBEAT_BYTES);
    if (body.isErr) return sendBodyError(res, body.error);
    const heartbeat = decodeHeartbeat(id, body.value);
    if (!heartbeat) {
      this.opts.observer.incrementCounter('report_unreadable');
      return sendJson(res, 400, {detail: 'the heartbeat is malformed'});
    }
    const address = await this.opts.reports.report(heartbeat);
    if (address === undefined) return sendUnavailable(res);
    sendJson(res, 200, {heartbeat_url: address});
  }

  private async leave(res: ServerResponse, id: string): Promise<void> {
    if (await this.opts.reports.leave(id)) sendJson(res, 200, {});
    else sendUnavailable(res);
  }

  private async publish(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {config, observer} = this.opts;
    const body = await this.http.bodies.read(req, MAX_CONFIG_BYTES);
    if (body.isErr) return sendBodyError(res, body.error);
    const table = decodeNewConfig(body.value);
    if (table.isErr) {
      observer.recordStateChange('config_refused', {detail: table.error});
      return sendJson(res, 400, {detail: table.error});
    }
    const {revision} = table.value.content;
    const content = JSON.stringify(body.value);
    const outcome = await config.publish({revision, content});
    observer.recordStateChange(
      outcome.isOk ? 'config_published' : 'config_unclear',
      {
        revision,
        ...(outcome.isOk ? outcome.value : {detail: outcome.error.detail}),
      },
    );
    if (outcome.isErr) return sendUnavailable(res);
    sendJson(res, 200, {version: revision});
  }

  private async evacuate(
    res: ServerResponse,
    zone: string,
    isEvacuated: boolean,
  ): Promise<void> {
    const {evacuations} = this.opts;
    const isWanted = watchCaller(res);
    const outcome = await evacuations.order(zone, isEvacuated, isWanted);
    if (outcome.isOk) sendJson(res, 200, {});
    else if (outcome.error.kind === 'not_found') {
      sendJson(res, 404, {detail: outcome.error.detail});
    } else sendUnavailable(res);
  }

  private async read(res: ServerResponse): Promise<void> {
    const {config, isCurrent} = await this.opts.config.read();
    if (!isCurrent || !config.document) return sendUnavailable(res);
    sendJson(res, 200, config.document.content);
  }
}

function sendUnavailable(res: ServerResponse): void {
  res.setHeader('retry-after', 1);
  sendJson(res, 503, {detail: 'no leader is reachable'});
}
