import {SystemRandom} from '../adapter/system_random.js';
import {FailsafeWorkerClient} from '../core/pool/lease/failsafe_worker_client.js';
import type {WorkerClient} from '../core/pool/lease/worker_client.js';
import {LeaderService} from '../core/pool/node/leader_service.js';
import {DispatchWarmUp} from '../core/pool/warm_up/dispatch_warm_up.js';
import {EvacuatedZones} from '../core/routing/evacuated_zones.js';
import {ConfigService} from '../daemon/config/config_service.js';
import {ConfigTelemetry} from '../daemon/config/config_telemetry.js';
import {ZoneEvacuations} from '../daemon/config/zone_evacuations.js';
import {ClientWarmUp} from './client_warm_up.js';
import {ControlFrontend} from './control_frontend.js';
import {RoutingTableCache} from './routing_table_cache.js';
import {getHttpLimits} from './get_http_limits.js';
import {getLeaseMs} from './get_lease_ms.js';
import {HttpWorkerClient} from './http_worker_client.js';
import type {PlatformNode} from './platform_node.js';
import {LOG_TIMING} from './log_timing.js';
import {Program} from './program.js';
import {parseAddress} from './parse_address.js';

const TICK_MS = 20;
/** Enough for the JavaScript engine to compile the code of a call. */
const WARM_UP_SLICES = 60;
/** Time within which another relay is chosen and open orders are answered. */
const RELAY_DRAIN_MS = 700;
/**
 * Process on a core VM. It serves the control API, replicates the
 * configuration log and dispatches jobs while it is the leader.
 */
export class CoreProgram extends Program {
  private readonly config: ConfigService;
  private readonly configTelemetry: ConfigTelemetry;
  private readonly client: WorkerClient;
  private readonly leaderService: LeaderService;
  private readonly frontend: ControlFrontend;
  private isStopping = false;
  private tickDueAt = Number.POSITIVE_INFINITY;

  constructor(private readonly node: PlatformNode) {
    super();
    const {settings, clock, log} = node.opts;
    const {peers, directory, telemetry: observer} = node;
    const {ip, zone, control, seeds} = settings;
    this.config = new ConfigService({
      node: ip,
      nodes: seeds.map(id => ({id, voter: true})),
      // Entry nodes receive the configuration but have no disk and no vote.
      discovered: () => [
        ...directory.coreIds(clock.now()),
        ...directory.entryIds(clock.now()),
      ],
      mayForm: settings.isFirstStart,
      voterTarget: 2 * settings.lostDisks + 1,
      zoneOf: id => directory.zoneOf(id),
      heardAt: id => directory.seenAt('core', id),
      timing: LOG_TIMING,
      tickMs: TICK_MS,
      dataDir: settings.dataDir,
      // The platform runs only one process per data folder.
      locksDataDir: false,
      // The other voters go on without this one, and a restart would not help.
      startsWithoutDisk: true,
      clock,
      peers,
      random: new SystemRandom(),
      log,
    });
    this.configTelemetry = new ConfigTelemetry(this.config.source, observer);
    const routing = new RoutingTableCache(
      () => this.config.newest.document,
      (revision, detail) => log.error('config_unreadable', {revision, detail}),
    );
    const evacuations = new ZoneEvacuations({
      node: ip,
      zones: [zone, ...settings.zones.keys()],
      config: this.config,
      record: (event, fields) => observer.recordStateChange(event, fields),
    });
    this.client = new FailsafeWorkerClient(
      new HttpWorkerClient(clock),
      observer,
    );
    this.leaderService = new LeaderService({
      node: ip,
      zone,
      clock,
      peers,
      client: this.client,
      directory,
      leaseMs: getLeaseMs(settings),
      resendMs: settings.resendMs,
      remoteFactor: settings.remoteFactor,
      reportAddress: control!,
      leadership: now => this.config.getLeadership(now),
      routing: () => routing.get(),
      evacuated: new EvacuatedZones(() => this.config.newest),
      observer,
    });
    this.frontend = new ControlFrontend({
      ...parseAddress(control!),
      limits: getHttpLimits(settings),
      config: this.config,
      evacuations,
      reports: this.leaderService.reports,
      observer,
      onError: detail => log.error('request_failed', {detail}),
    });
    observer.addZoneGauge(
      'zone_evacuated',
      'Whether the zone is evacuated',
      () => evacuations.list().map(z => [z.zone, Number(z.isEvacuated)]),
    );
    observer.addGauge('is_leading', 'Whether this node dispatches', () =>
      Number(this.leaderService.isLeading),
    );
    observer.addGauge('zones_granted', 'Zones granted by this leader', () => {
      return this.leaderService.grantedZones;
    });
    observer.addGauge('zone_token', 'Token of the zone held here, or 0', () => {
      return this.leaderService.zoneToken;
    });
    observer.addGauge('pool_jobs', 'Jobs in the pool of this node', () => {
      return this.leaderService.openJobs;
    });
  }

  override async start(): Promise<void> {
    await this.node.start();
    await this.config.start();
    this.configTelemetry.recordStored();
    const {http} = this.frontend;
    await this.node.ports.open('control', () => http.start());
    this.tick();
    void this.warmUp();
  }

  /** Transfers leadership; the new leader takes over the active runs unchanged. */
  override async stop(): Promise<void> {
    this.node.ports.close();
    this.leaderService.announceDrain();
    await this.config.stop();
    this.isStopping = true;
    this.leaderService.close();
    // The leader sends no further orders through this node by then.
    await new Promise<void>(resolve => {
      this.node.opts.clock.schedule(RELAY_DRAIN_MS, resolve);
    });
    await this.frontend.http.drain();
  }

  /**
   * Runs synthetic jobs and calls until the first real job arrives, so that the
   * code is JIT-compiled by then.
   */
  private async warmUp(): Promise<void> {
    const {clock, log, settings} = this.node.opts;
    const startedAt = clock.now();
    const dispatch = new DispatchWarmUp();
    const calls = new ClientWarmUp(
      this.client,
      settings.control!,
      WARM_UP_SLICES,
    );
    while (
      !dispatch.isOver &&
      !this.isStopping &&
      this.leaderService.openJobs === 0
    ) {
      await dispatch.step();
      await calls.step();
      await new Promise<void>(resolve => {
        clock.schedule(TICK_MS, resolve);
      });
    }
    log.info('warmed_up', {
      jobs: dispatch.completed,
      is_whole: dispatch.isOver,
      took_ms: Math.round(clock.now() - startedAt),
    });
  }

  private tick(): void {
    if (this.isStopping) return;
    const {clock} = this.node.opts;
    const now = clock.now();
    this.node.loop.record(Math.max(0, now - this.tickDueAt), now);
    this.node.load.tick(now, this.leaderService.openJobs);
    this.leaderService.tick(now);
    this.tickDueAt = clock.now() + TICK_MS;
    clock.schedule(TICK_MS, () => this.tick());
  }
}
