import {HttpServer} from '../adapter/http/http_server.js';
import {ProcessorUsage} from '../adapter/processor_usage.js';
import {SystemRandom} from '../adapter/system_random.js';
import {EntryGateway} from '../core/pool/entry/entry_gateway.js';
import {EntryPresence} from '../core/pool/entry/entry_presence.js';
import {EntryShutdown} from '../core/pool/entry/entry_shutdown.js';
import {FallbackService} from '../core/pool/entry/fallback_service.js';
import {FailsafeWorkerClient} from '../core/pool/lease/failsafe_worker_client.js';
import type {WorkerClient} from '../core/pool/lease/worker_client.js';
import {ReliefService} from '../core/pool/pressure/relief_service.js';
import {WorkerRelay} from '../core/pool/relay/worker_relay.js';
import {ZonePeers} from '../core/pool/entry/zone_peers.js';
import {EvacuatedZones} from '../core/routing/evacuated_zones.js';
import {ConfigService} from '../daemon/config/config_service.js';
import {ConfigTelemetry} from '../daemon/config/config_telemetry.js';
import {CallerFrontend} from './caller_frontend.js';
import {ClientWarmUp} from './client_warm_up.js';
import {PROBE_LIMITS} from './probe_limits.js';
import {RoutingTableCache} from './routing_table_cache.js';
import {HttpWorkerClient} from './http_worker_client.js';
import {getHttpLimits} from './get_http_limits.js';
import {getLeaseMs} from './get_lease_ms.js';
import type {PlatformNode} from './platform_node.js';
import {Program} from './program.js';
import {sendJson} from './send_json.js';
import {parseAddress} from './parse_address.js';

const TICK_MS = 50;
/** A configuration has to be in force within seconds. */
const CONFIG_TICK_MS = 200;
/** Tick interval while this node is its zone's fallback dispatcher. */
const FALLBACK_TICK_MS = 20;
/**
 * Loads the code of a call. Entry nodes send orders only as a fallback or if no
 * core node relays them, and in a large deployment there are a hundred of them.
 */
const WARM_UP_SLICES = 4;
/** Time without a known leader after which this node is not ready. */
const LEADER_LOSS_MS = 3_000;
/**
 * Time that the platform takes to stop routing requests to a node that is not
 * ready: two failed probes, one second apart.
 */
const READINESS_NOTICE_MS = 2_300;
/**
 * Part of the grace period in which the process exits. All callers have been
 * answered before, see EntryShutdown.
 */
const STOP_MARGIN_MS = 150;

/**
 * Process on a VM that callers connect to. It passes jobs to the leader,
 * relays the leader's requests to workers, and dispatches for its zone as a
 * fallback while no leader is reachable.
 */
export class EntryProgram extends Program {
  private readonly config: ConfigService;
  private readonly client: WorkerClient;
  private readonly fallback: FallbackService;
  private readonly presence: EntryPresence;
  private readonly relief: ReliefService;
  private readonly usage = new ProcessorUsage();
  private readonly gateway: EntryGateway;
  private readonly shutdown: EntryShutdown;
  private readonly frontend: CallerFrontend;
  private readonly readiness: HttpServer;
  private isDraining = false;
  private tickDueAt: number;
  private lastTickAt: number;
  private withoutDispatcherMs = 0;
  private leaderSeenAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly node: PlatformNode) {
    super();
    const {settings, clock, log} = node.opts;
    const {peers, directory, telemetry: observer} = node;
    const {ip, zone, seeds} = settings;
    this.config = new ConfigService({
      node: ip,
      nodes: seeds.map(id => ({id, voter: true})),
      discovered: () => directory.coreIds(clock.now()),
      mayForm: false,
      tickMs: CONFIG_TICK_MS,
      dataDir: undefined,
      clock,
      peers,
      random: new SystemRandom(),
      log,
    });
    new ConfigTelemetry(this.config.source, observer);
    const routing = new RoutingTableCache(
      () => this.config.source.current().document,
      (revision, detail) => log.error('config_unreadable', {revision, detail}),
    );
    // The leader states its revision once a second, and pushes a new one at once.
    this.config.source.onChange(() =>
      directory.claims.recordRevision(routing.get()?.content.revision ?? 0),
    );
    const zonePeers = new ZonePeers();
    const client = new FailsafeWorkerClient(
      new HttpWorkerClient(clock),
      observer,
    );
    this.client = client;
    new WorkerRelay({peers, client, clock, observer});
    this.fallback = new FallbackService({
      node: ip,
      zone,
      clock,
      peers,
      client,
      directory,
      zonePeers,
      leaseMs: getLeaseMs(settings),
      resendMs: settings.resendMs,
      remoteFactor: settings.remoteFactor,
      routing: () => routing.get(),
      evacuated: new EvacuatedZones(() => this.config.newest),
      observer,
    });
    this.tickDueAt = this.lastTickAt = clock.now();
    const share = settings.processorShare;
    this.relief = new ReliefService({node: ip, share, observer});
    this.presence = new EntryPresence({
      node: ip,
      zone,
      clock,
      peers,
      directory,
      zonePeers,
      fallback: this.fallback,
      relief: this.relief,
      onDispatcher: now => this.gateway.onDispatcher(now),
    });
    this.gateway = new EntryGateway({
      zone,
      clock,
      peers,
      directory,
      observer,
    });
    this.shutdown = new EntryShutdown({gateway: this.gateway, peers});
    const onError = (detail: string) => log.error('request_failed', {detail});
    this.frontend = new CallerFrontend({
      ...parseAddress(settings.callers!),
      limits: getHttpLimits(settings),
      clock,
      gateway: this.gateway,
      routing: () => routing.get(),
      observer,
      onError,
    });
    this.readiness = new HttpServer({
      ...parseAddress(settings.readiness!),
      limits: PROBE_LIMITS,
      onError,
    });
    this.readiness.route('GET', '/ready', (_req, res) =>
      sendJson(res, this.isReady() ? 200 : 503, {}),
    );
    observer.addGauge(
      'without_dispatcher_seconds',
      'Time since the start without a known dispatcher',
      () => this.withoutDispatcherMs / 1_000,
    );
    observer.addGauge('open_jobs', 'Jobs whose callers wait here', () => {
      return this.gateway.openJobs;
    });
    observer.addGauge(
      'pressure',
      'Use of the thread of this node, 0 to 1',
      () => {
        return this.relief.pressure;
      },
    );
    observer.addGauge('is_relieved', 'Whether it asks for no connections', () =>
      Number(this.relief.isRelieved),
    );
  }

  override async start(): Promise<void> {
    const {node, readiness, frontend} = this;
    await node.start();
    await this.config.start();
    await node.ports.open('readiness', () => readiness.start());
    await node.ports.open('callers', () => frontend.http.start());
    this.tick();
    void this.warmUp();
  }

  /**
   * Serves new requests until the platform has stopped routing them here, then
   * finishes the open ones within the grace period, and answers the rest.
   */
  override async stop(): Promise<void> {
    const {clock, settings} = this.node.opts;
    this.isDraining = true;
    this.node.ports.close();
    this.presence.announceDrain();
    this.frontend.http.announceDrain();
    const startedAt = clock.now();
    this.shutdown.begin(startedAt + settings.graceMs);
    await this.sleep(Math.min(READINESS_NOTICE_MS, settings.graceMs / 2));
    const remainingMs = settings.graceMs - (clock.now() - startedAt);
    await Promise.race([
      this.frontend.http.drain(),
      this.sleep(remainingMs - STOP_MARGIN_MS),
    ]);
    await this.config.stop();
  }

  /**
   * Warms up the worker client, because this node sends requests to workers both
   * as a relay for the leader and as the fallback dispatcher of its zone.
   */
  private async warmUp(): Promise<void> {
    const {log, settings} = this.node.opts;
    const calls = new ClientWarmUp(
      this.client,
      settings.readiness!,
      WARM_UP_SLICES,
    );
    while (!calls.isOver && !this.isDraining && this.gateway.openJobs === 0) {
      await calls.step();
      await this.sleep(FALLBACK_TICK_MS);
    }
    log.info('warmed_up', {is_whole: calls.isOver});
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.node.opts.clock.schedule(Math.max(0, ms), resolve);
    });
  }

  private isReady(): boolean {
    const now = this.node.opts.clock.now();
    if (this.isDraining || this.relief.isRelieved) return false;
    return now - this.leaderSeenAt < LEADER_LOSS_MS;
  }

  private tick(): void {
    const {clock} = this.node.opts;
    const now = clock.now();
    if (this.gateway.hasDispatcher) this.leaderSeenAt = now;
    else this.withoutDispatcherMs += now - this.lastTickAt;
    this.updatePressure(now);
    this.node.load.tick(now, this.gateway.openJobs);
    this.fallback.tick(now);
    this.presence.tick(now);
    this.gateway.tick(now);
    this.shutdown.tick(now);
    const {isDispatching} = this.fallback;
    const delayMs = isDispatching ? FALLBACK_TICK_MS : TICK_MS;
    this.tickDueAt = clock.now() + delayMs;
    clock.schedule(delayMs, () => this.tick());
  }

  private updatePressure(now: number): void {
    const sample = {
      elapsedMs: now - this.lastTickAt,
      usedMs: this.usage.take(),
      delayMs: Math.max(0, now - this.tickDueAt),
    };
    this.lastTickAt = now;
    this.node.loop.record(sample.delayMs, now);
    if (this.relief.update(sample, now)) this.presence.makePressureDue();
  }
}
