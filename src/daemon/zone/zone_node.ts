import {EventLoopLag} from '../../adapter/event_loop_lag.js';
import {SystemRandom} from '../../adapter/system_random.js';
import {HttpUpstreamClient} from '../../adapter/upstream/http_upstream_client.js';
import type {Clock} from '../../core/clock/clock.js';
import type {ConfigSource} from '../../core/config/config_source.js';
import type {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import {TargetPolicy} from '../../core/dispatch/target/target_policy.js';
import {RemoteZoneUpstreamClient} from '../../core/overflow/remote_zone_upstream_client.js';
import {RoutingUpstreamClient} from '../../core/overflow/routing_upstream_client.js';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import {Service} from '../supervisor/service.js';
import {JobRouter} from './job_router.js';
import {WorkerRouter} from './worker_router.js';
import {ZoneDirectory} from './zone_directory.js';
import {ZoneGroups} from './zone_groups.js';
import {ZoneService} from './zone_service.js';

/**
 * Longest wait at a graceful stop for open jobs that no other daemon can take
 * over. Without a limit one hung task would block the stop.
 */
const IDLE_TIMEOUT_MS = 60_000;

interface ZoneNodeOptions {
  readonly node: string;
  readonly zone: string;
  /** All daemons of the deployment. */
  readonly nodes: ReadonlyArray<{readonly id: string; readonly zone: string}>;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly config: ConfigSource;
  readonly observer: DispatchObserver;
  readonly onUpstreamError: (detail: string) => void;
}

/** Creates and connects the parts of this daemon that serve its zone. */
export class ZoneNode extends Service {
  override readonly name = 'zone';
  /** Routes requests about jobs to the dispatchers of their home zones. */
  readonly jobs: JobRouter;
  /** Routes announcements of workers to the daemons of their zones. */
  readonly workers: WorkerRouter;
  readonly groups: ZoneGroups;
  readonly service: ZoneService;
  private readonly upstream: HttpUpstreamClient;
  private readonly lag: EventLoopLag;

  constructor(opts: ZoneNodeOptions) {
    super();
    const {zone, clock, peers, config} = opts;
    const random = new SystemRandom();
    const directory = new ZoneDirectory(opts.nodes);
    const policy = new TargetPolicy({config, random, zone});
    this.lag = new EventLoopLag(clock, lagMs => policy.recordLag(lagMs));
    this.upstream = new HttpUpstreamClient({onError: opts.onUpstreamError});
    this.groups = new ZoneGroups({...opts, random});
    this.jobs = new JobRouter(directory, peers, clock);
    const borrowed = new RemoteZoneUpstreamClient({
      clock,
      zone,
      route: (key, req) => this.jobs.route(key, req),
    });
    this.service = new ZoneService({
      ...opts,
      otherZones: directory.zones.filter(other => other !== zone),
      announceSpare: offer => void this.workers.offer(offer),
      replicator: this.groups.ownReplica,
      table: this.groups.table,
      policy,
      upstream: new RoutingUpstreamClient(this.upstream, borrowed),
    });
    this.workers = new WorkerRouter(
      zone,
      directory,
      peers,
      this.service,
      () => this.groups.ownReplica.leadingEpoch,
      () => this.groups.ownReplica.leader,
    );
  }

  override async start(): Promise<void> {
    this.groups.start();
    this.lag.start();
  }

  /** Transfers leadership, or waits for the open jobs if no node takes over. */
  async handOver(): Promise<void> {
    const isHandedOver = await this.groups.handOver();
    if (!isHandedOver) await this.service.waitUntilIdle(IDLE_TIMEOUT_MS);
  }

  override async stop(): Promise<void> {
    await this.upstream.close();
    this.lag.stop();
    this.service.stop();
    this.groups.stop();
  }
}
