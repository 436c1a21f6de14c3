import type {ConsolaInstance} from 'consola';
import {EventLoopLag} from '../adapter/event_loop_lag.js';
import {CallerApi} from '../adapter/http/caller_api.js';
import {CallerServer} from '../adapter/http/caller_server.js';
import {WorkerApi} from '../adapter/http/worker_api.js';
import {TcpPeerTransport} from '../adapter/peer/tcp_peer_transport.js';
import {SystemRandom} from '../adapter/system_random.js';
import {HttpUpstreamClient} from '../adapter/upstream/http_upstream_client.js';
import type {Clock} from '../core/clock/clock.js';
import {StaticConfigSource} from '../core/config/static_config_source.js';
import {SubmissionGate} from '../core/dispatch/submission_gate.js';
import {TargetPolicy} from '../core/dispatch/target/target_policy.js';
import {SoloReplicator} from '../core/group/solo_replicator.js';
import type {Settings} from './settings/settings.js';
import {Service} from './supervisor/service.js';
import {Supervisor} from './supervisor/supervisor.js';
import {JobRouter} from './zone/job_router.js';
import {WorkerRouter} from './zone/worker_router.js';
import {ZoneDirectory} from './zone/zone_directory.js';
import {ZoneService} from './zone/zone_service.js';

/** One node of a deployment, put together from its settings. */
export class Daemon extends Service {
  override readonly name = 'daemon';
  private readonly peers: TcpPeerTransport;
  private readonly upstream: HttpUpstreamClient;
  private readonly zone: ZoneService;
  private readonly replicator: SoloReplicator;
  private readonly lag: EventLoopLag;
  private readonly server: CallerServer;
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
    const config = new StaticConfigSource({
      version: 1,
      classes: {
        default: {
          name: 'default',
          target_ms: 2_000,
          percentile: 99,
          repeatable: false,
          memory_mb: 0,
          accelerators: 0,
        },
      },
      tenants: {},
    });
    const policy = new TargetPolicy({
      config,
      random: new SystemRandom(),
      zone: self.zone,
    });
    this.lag = new EventLoopLag(clock, lagMs => policy.noteLag(lagMs));
    this.replicator = new SoloReplicator(directory.nodes(self.zone)[0]!);
    this.zone = new ZoneService({
      clock,
      peers: this.peers,
      replicator: this.replicator,
      policy,
      config,
      upstream: this.upstream,
    });
    const jobs = new JobRouter(directory, this.peers, clock);
    const workers = new WorkerRouter(
      self.zone,
      directory,
      this.peers,
      this.zone,
      () => this.replicator.leading,
      () => this.replicator.leader,
    );
    this.server = new CallerServer({
      ...settings.caller,
      callers: new CallerApi({
        zone: self.zone,
        clock,
        route: (key, req) => jobs.route(key, req),
      }),
      workers: new WorkerApi({announce: a => workers.announce(a)}),
      isReady: () => this.isReady(),
      onError: detail => this.log.error('request failed', {detail}),
    });
    this.supervisor = new Supervisor('daemon', [
      service('peers', this.peers),
      service('zone', {
        start: async () => {
          this.lead();
          this.lag.start();
        },
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
    await this.supervisor.start();
    const {node} = this.settings;
    this.log.info('started', {node, port: this.server.port});
  }

  override async stop(): Promise<void> {
    this.isDraining = true;
    this.log.info('draining');
    await this.supervisor.stop();
    this.log.info('stopped');
  }

  private lead(): void {
    if (this.replicator.leader === this.settings.node) {
      this.replicator.lead(this.clock.now());
    }
  }

  private isReady(): boolean {
    if (this.isDraining) return false;
    if (this.replicator.leading === undefined) return true;
    const remembers =
      this.replicator.memoryStart + SubmissionGate.MAX_CLOCK_SKEW_MS;
    return this.clock.now() >= remembers;
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
