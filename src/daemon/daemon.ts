import {readFileSync} from 'node:fs';
import type {ConsolaInstance} from 'consola';
import Emittery from 'emittery';
import {EventLoopLag} from '../adapter/event_loop_lag.js';
import {AdminApi} from '../adapter/http/admin_api.js';
import {AdminServer} from '../adapter/http/admin_server.js';
import {CallerApi} from '../adapter/http/caller_api.js';
import {CallerServer} from '../adapter/http/caller_server.js';
import {WorkerApi} from '../adapter/http/worker_api.js';
import {Telemetry} from '../adapter/metrics/telemetry.js';
import {TcpPeerTransport} from '../adapter/peer/tcp_peer_transport.js';
import {SystemRandom} from '../adapter/system_random.js';
import {HttpUpstreamClient} from '../adapter/upstream/http_upstream_client.js';
import type {Clock} from '../core/clock/clock.js';
import {TargetPolicy} from '../core/dispatch/target/target_policy.js';
import {ZoneUpstreamClient} from '../core/overflow/zone_upstream_client.js';
import {ZonedUpstreamClient} from '../core/overflow/zoned_upstream_client.js';
import {LogConfigAdmin} from './admin/log_config_admin.js';
import {StatusReport} from './admin/status_report.js';
import {ConfigService} from './config/config_service.js';
import {LoggingObserver} from './log/logging_observer.js';
import {httpLimits} from './settings/http_limits.js';
import type {Settings} from './settings/settings.js';
import {Service} from './supervisor/service.js';
import {Supervisor} from './supervisor/supervisor.js';
import {JobRouter} from './zone/job_router.js';
import {WorkerRouter} from './zone/worker_router.js';
import {ZoneDirectory} from './zone/zone_directory.js';
import {ZoneGroups} from './zone/zone_groups.js';
import {ZoneService} from './zone/zone_service.js';

/** Longest wait for the jobs of a zone that no other daemon can take over. */
const IDLE_LIMIT_MS = 60_000;

interface DaemonEvents {
  /** An operator asks for a graceful stop. */
  drain: undefined;
}

/** One node of a deployment, put together from its settings. */
export class Daemon extends Service {
  override readonly name = 'daemon';
  readonly events = new Emittery<DaemonEvents>();
  private readonly peers: TcpPeerTransport;
  private readonly upstream: HttpUpstreamClient;
  private readonly config: ConfigService;
  private readonly zone: ZoneService;
  private readonly groups: ZoneGroups;
  private readonly lag: EventLoopLag;
  private readonly server: CallerServer;
  private readonly admin: AdminServer;
  private readonly telemetry: Telemetry;
  private readonly supervisor: Supervisor;
  private readonly settings: Settings;
  private isDraining = false;

  constructor(
    settings: Settings,
    private readonly clock: Clock,
    private readonly log: ConsolaInstance,
  ) {
    super();
    this.settings = settings;
    const self = settings.nodes.find(node => node.id === settings.node)!;
    const directory = new ZoneDirectory(settings.nodes);
    this.peers = new TcpPeerTransport({
      node: self.id,
      listen: self.peer,
      peers: settings.nodes
        .filter(node => node.id !== self.id)
        .map(({id, peer}) => ({node: id, ...peer})),
      clock,
      onError: detail => this.log.warn('peer error', {detail}),
    });
    this.upstream = new HttpUpstreamClient({
      onError: detail => this.log.debug('upstream error', {detail}),
    });
    this.config = new ConfigService({
      node: self.id,
      nodes: settings.nodes,
      dataDir: settings.data_dir,
      clock,
      peers: this.peers,
      random: new SystemRandom(),
      log,
    });
    this.telemetry = new Telemetry({
      statsd: settings.statsd,
      prefix: settings.statsd_prefix,
      tags: {node: self.id, zone: self.zone},
      maxSeries: settings.max_histogram_series,
      clock,
      onError: detail => this.log.warn('metrics not sent', {detail}),
    });
    this.groups = new ZoneGroups({
      node: self.id,
      zone: self.zone,
      nodes: settings.nodes,
      peers: this.peers,
      clock,
      random: new SystemRandom(),
    });
    const policy = new TargetPolicy({
      config: this.config.source,
      random: new SystemRandom(),
      zone: self.zone,
    });
    this.lag = new EventLoopLag(clock, lagMs => policy.noteLag(lagMs));
    const jobs = new JobRouter(directory, this.peers, clock);
    const zones = new ZoneUpstreamClient({
      clock,
      zone: self.zone,
      route: (key, req) => jobs.route(key, req),
    });
    this.zone = new ZoneService({
      zone: self.zone,
      otherZones: directory.zones.filter(zone => zone !== self.zone),
      announceSpare: offer => void workers.offer(offer),
      clock,
      peers: this.peers,
      replicator: this.groups.own,
      table: this.groups.table,
      policy,
      config: this.config.source,
      upstream: new ZonedUpstreamClient(this.upstream, zones),
      observer: new LoggingObserver(log, this.telemetry.observer),
    });
    const workers = new WorkerRouter(
      self.zone,
      directory,
      this.peers,
      this.zone,
      () => this.groups.own.leading,
      () => this.groups.own.leader,
    );
    this.server = new CallerServer({
      ...settings.caller,
      limits: httpLimits(settings),
      callers: new CallerApi({
        zone: self.zone,
        clock,
        maxBodyBytes: settings.http.max_body_bytes,
        route: (key, req) => jobs.route(key, req),
      }),
      workers: new WorkerApi({announce: a => workers.announce(a)}),
      isReady: () => this.isReady(),
      onError: detail => this.log.error('request failed', {detail}),
    });
    const configAdmin = new LogConfigAdmin(this.config, clock);
    const report = new StatusReport({
      node: self,
      clock,
      zone: this.zone,
      replicator: this.groups.own,
      table: this.groups.table,
      config: configAdmin,
      isReady: () => this.isReady(),
      isDraining: () => this.isDraining,
    });
    this.telemetry.watch(() => report.status());
    this.admin = new AdminServer({
      ...settings.admin,
      limits: httpLimits(settings),
      token: readFileSync(settings.admin_token_file, 'utf8').trim(),
      api: new AdminApi({
        config: configAdmin,
        status: () => report.status(),
        upstreams: () => report.upstreams(),
        histograms: () => this.telemetry.histograms.summaries(),
        drain: () => void this.events.emit('drain'),
      }),
      onError: detail => this.log.error('admin request failed', {detail}),
    });
    this.supervisor = new Supervisor('daemon', [
      service('metrics', this.telemetry),
      service('admin', {
        start: () => this.admin.http.start(),
        stop: () => this.admin.http.drain(),
      }),
      service('peers', this.peers),
      this.config,
      service('groups', {
        start: async () => this.groups.start(),
        stop: async () => this.groups.stop(),
      }),
      service('zone', {
        start: async () => this.lag.start(),
        stop: async () => {
          this.lag.stop();
          this.zone.stop();
        },
      }),
      service('upstream', {
        start: async () => undefined,
        stop: () => this.upstream.close(),
      }),
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
    // The balancer sends requests until it has seen the health check fail.
    const {drain_notice_ms: noticeMs} = this.settings;
    const noticed = new Promise<void>(resolve => {
      this.clock.schedule(noticeMs, resolve);
    });
    const [isHandedOver] = await Promise.all([this.groups.handOver(), noticed]);
    if (!isHandedOver) await this.zone.whenIdle(IDLE_LIMIT_MS);
    await this.supervisor.stop();
    this.log.info('stopped');
  }

  private logEvents(): void {
    const {events} = this.supervisor;
    events.on('started', ({service}) =>
      this.log.debug('service started', {service}),
    );
    events.on('stopped', ({service}) =>
      this.log.debug('service stopped', {service}),
    );
    events.on('failed', fields => this.log.error('service failed', fields));
  }

  private isReady(): boolean {
    if (this.isDraining) return false;
    if (this.config.source.current().version === 0) return false;
    return this.groups.isReady();
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
