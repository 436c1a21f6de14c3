import {readFileSync} from 'node:fs';
import type {ConsolaInstance} from 'consola';
import Emittery from 'emittery';
import {AdminApi} from '../adapter/http/admin_api.js';
import {AdminServer} from '../adapter/http/admin_server.js';
import {CallerApi} from '../adapter/http/caller_api.js';
import {CallerServer} from '../adapter/http/caller_server.js';
import {WorkerApi} from '../adapter/http/worker_api.js';
import {Telemetry} from '../adapter/metrics/telemetry.js';
import {TcpPeerTransport} from '../adapter/peer/tcp_peer_transport.js';
import {SystemRandom} from '../adapter/system_random.js';
import type {Clock} from '../core/clock/clock.js';
import {ReplicatedConfigAdmin} from './admin/replicated_config_admin.js';
import {StatusReport} from './admin/status_report.js';
import {ConfigService} from './config/config_service.js';
import {ZoneEvacuations} from './config/zone_evacuations.js';
import {LoggingObserver} from './log/logging_observer.js';
import {getHttpLimits} from './settings/get_http_limits.js';
import type {Settings} from './settings/settings.js';
import {Service} from './supervisor/service.js';
import {Supervisor} from './supervisor/supervisor.js';
import {ZoneNode} from './zone/zone_node.js';

interface DaemonEvents {
  /** An operator has requested a graceful stop. */
  drain: undefined;
}

/** One node of a deployment: creates and connects its services. */
export class Daemon extends Service {
  override readonly name = 'daemon';
  readonly events = new Emittery<DaemonEvents>();
  private readonly self: Settings['nodes'][number];
  private readonly peers: TcpPeerTransport;
  private readonly config: ConfigService;
  private readonly telemetry: Telemetry;
  private readonly zone: ZoneNode;
  private readonly server: CallerServer;
  private readonly admin: AdminServer;
  private readonly supervisor: Supervisor;
  private isDraining = false;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly log: ConsolaInstance,
  ) {
    super();
    this.self = settings.nodes.find(node => node.id === settings.node)!;
    this.peers = this.createPeers();
    this.config = this.createConfig();
    this.telemetry = this.createTelemetry();
    this.zone = this.createZone();
    this.server = this.createServer();
    this.admin = this.createAdmin();
    this.supervisor = new Supervisor('daemon', [
      service('metrics', this.telemetry),
      service('admin', {
        start: () => this.admin.http.start(),
        stop: () => this.admin.http.drain(),
      }),
      service('peers', this.peers),
      this.config,
      this.zone,
      service('http', {
        start: () => this.server.start(),
        stop: () => this.server.drain(),
      }),
    ]);
  }

  override async start(): Promise<void> {
    this.logEvents();
    await this.supervisor.start();
    this.log.info('started', {
      caller_port: this.server.port,
      admin_port: this.admin.port,
    });
  }

  override async stop(): Promise<void> {
    this.isDraining = true;
    this.log.info('draining');
    this.server.http.announceDrain();
    // The load balancer sends requests until it has seen the health check fail.
    const {drain_notice_ms: noticeMs} = this.settings;
    const noticePeriod = new Promise<void>(resolve => {
      this.clock.schedule(noticeMs, resolve);
    });
    await Promise.all([this.zone.handOver(), noticePeriod]);
    await this.supervisor.stop();
    this.log.info('stopped');
  }

  private createPeers(): TcpPeerTransport {
    const {self, clock, log, settings} = this;
    const otherNodes = settings.nodes.filter(node => node.id !== self.id);
    return new TcpPeerTransport({
      node: self.id,
      listen: self.peer,
      peers: otherNodes.map(({id, peer}) => ({node: id, ...peer})),
      clock,
      onError: detail => log.warn('peer error', {detail}),
    });
  }

  private createConfig(): ConfigService {
    const {self, clock, log, peers, settings} = this;
    return new ConfigService({
      node: self.id,
      nodes: settings.nodes,
      dataDir: settings.data_dir,
      clock,
      peers,
      random: new SystemRandom(),
      log,
    });
  }

  private createTelemetry(): Telemetry {
    const {self, clock, log, settings} = this;
    return new Telemetry({
      statsd: settings.statsd,
      prefix: settings.statsd_prefix,
      tags: {node: self.id, zone: self.zone},
      maxSeries: settings.max_histogram_series,
      clock,
      onError: detail => log.warn('metrics not sent', {detail}),
    });
  }

  private createZone(): ZoneNode {
    const {self, clock, log, peers, settings} = this;
    return new ZoneNode({
      node: self.id,
      zone: self.zone,
      nodes: settings.nodes,
      clock,
      peers,
      config: this.config.source,
      observer: new LoggingObserver(log, this.telemetry.observer),
      onUpstreamError: detail => log.debug('upstream error', {detail}),
    });
  }

  private createServer(): CallerServer {
    const {clock, log, self, settings, zone} = this;
    return new CallerServer({
      ...settings.caller,
      limits: getHttpLimits(settings),
      callers: new CallerApi({
        zone: self.zone,
        clock,
        maxBodyBytes: settings.http.max_body_bytes,
        route: (key, req) => zone.jobs.route(key, req),
      }),
      workers: new WorkerApi({announce: a => zone.workers.announce(a)}),
      isReady: () => this.isReady(),
      onError: detail => log.error('request failed', {detail}),
    });
  }

  private createAdmin(): AdminServer {
    const {clock, log, self, settings, telemetry, zone} = this;
    const evacuations = new ZoneEvacuations({
      node: self.id,
      zones: settings.nodes.map(node => node.zone),
      config: this.config,
      record: (event, fields) => log.info(event, fields),
    });
    const config = new ReplicatedConfigAdmin(this.config, clock, evacuations);
    const report = new StatusReport({
      node: self,
      clock,
      zone: zone.service,
      replicator: zone.groups.ownReplica,
      table: zone.groups.table,
      config,
      isReady: () => this.isReady(),
      isDraining: () => this.isDraining,
    });
    telemetry.reportGauges(() => {
      const zones = evacuations.list().map(({zone: name, isEvacuated}) => {
        return [`zone_evacuated.${name}`, Number(isEvacuated)] as const;
      });
      return {...report.status(), ...Object.fromEntries(zones)};
    });
    return new AdminServer({
      ...settings.admin,
      limits: getHttpLimits(settings),
      token: readFileSync(settings.admin_token_file, 'utf8').trim(),
      api: new AdminApi({
        config,
        status: () => report.status(),
        upstreams: () => report.upstreams(),
        histograms: () => telemetry.histograms.summaries(),
        drain: () => void this.events.emit('drain'),
      }),
      onError: detail => log.error('admin request failed', {detail}),
    });
  }

  private logEvents(): void {
    const {events} = this.supervisor;
    events.on('started', fields => this.log.debug('service started', fields));
    events.on('stopped', fields => this.log.debug('service stopped', fields));
    events.on('failed', fields => this.log.error('service failed', fields));
  }

  private isReady(): boolean {
    if (this.isDraining) return false;
    if (this.config.source.current().version === 0) return false;
    return this.zone.groups.isReady();
  }
}

function service(
  name: string,
  parts: {start(): Promise<void>; stop(): Promise<void>},
): Service {
  return new (class extends Service {
    override readonly name = name;
    override start = () => parts.start();
    override stop = () => parts.stop();
  })();
}
