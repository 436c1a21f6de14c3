import {HttpServer} from '../adapter/http/http_server.js';
import {SystemRandom} from '../adapter/system_random.js';
import {EntryGateway} from '../core/pool/entry_gateway.js';
import {EntryPresence} from '../core/pool/entry_presence.js';
import {FallbackService} from '../core/pool/fallback_service.js';
import {WorkerRelay} from '../core/pool/relay/worker_relay.js';
import {ZonePeers} from '../core/pool/zone_peers.js';
import {ConfigService} from '../daemon/config/config_service.js';
import {CallerFrontend} from './caller_frontend.js';
import {ClientWarmUp} from './client_warm_up.js';
import {RoutingTableCache} from './routing_table_cache.js';
import {HttpWorkerClient} from './http_worker_client.js';
import {getLeaseMs} from './get_lease_ms.js';
import type {PlatformNode} from './platform_node.js';
import {Program} from './program.js';
import {sendJson} from './send_json.js';
import {parseAddress} from './parse_address.js';

const TICK_MS = 50;
/** Interval while this node dispatches for its zone. */
const DISPATCH_TICK_MS = 20;
/** A node that has found no lead for this long is not ready. */
const NO_LEAD_MS = 3_000;
/** The platform takes a node out after two misses, a second apart. */
const NOTICE_MS = 2_300;
/** Left of the grace period for the last answers. */
const STOP_MARGIN_MS = 400;

/** The process on a machine that callers reach. */
export class EntryProgram extends Program {
  private readonly config: ConfigService;
  private readonly client: HttpWorkerClient;
  private readonly fallback: FallbackService;
  private readonly presence: EntryPresence;
  private readonly gateway: EntryGateway;
  private readonly frontend: CallerFrontend;
  private readonly readiness: HttpServer;
  private isDraining = false;
  private leadSeenAt = Number.NEGATIVE_INFINITY;

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
      dataDir: undefined,
      clock,
      peers,
      random: new SystemRandom(),
      log,
    });
    const routing = new RoutingTableCache(
      () => this.config.source.current().document,
      (revision, detail) => log.error('config_unreadable', {revision, detail}),
    );
    const mates = new ZonePeers();
    const client = new HttpWorkerClient(clock);
    this.client = client;
    new WorkerRelay(peers, client);
    this.fallback = new FallbackService({
      node: ip,
      zone,
      clock,
      peers,
      client,
      directory,
      zonePeers: mates,
      leaseMs: getLeaseMs(settings),
      routing: () => routing.get(),
      observer,
    });
    this.presence = new EntryPresence({
      node: ip,
      zone,
      peers,
      directory,
      zonePeers: mates,
      fallback: this.fallback,
      onDispatcher: now => this.gateway.tick(now),
    });
    this.gateway = new EntryGateway({
      clock,
      peers,
      directory,
      observer,
    });
    const onError = (detail: string) => log.error('request_failed', {detail});
    this.frontend = new CallerFrontend({
      ...parseAddress(settings.callers!),
      gateway: this.gateway,
      observer,
      onError,
    });
    this.readiness = new HttpServer({
      ...parseAddress(settings.readiness!),
      onError,
    });
    this.readiness.route('GET', '/ready', (_req, res) =>
      sendJson(res, this.isReady() ? 200 : 503, {}),
    );
    observer.addGauge('open_jobs', 'Jobs whose callers wait here', () => {
      return this.gateway.openJobs;
    });
  }

  override async start(): Promise<void> {
    await this.node.start();
    await this.config.start();
    await this.readiness.start();
    await this.frontend.http.start();
    this.tick();
    void this.warmUp();
  }

  /** Serves until the balancer has noticed, then what is still open. */
  override async stop(): Promise<void> {
    const {clock, settings} = this.node.opts;
    this.isDraining = true;
    this.presence.announceDrain();
    this.frontend.http.announceDrain();
    const startedAt = clock.now();
    await this.sleep(Math.min(NOTICE_MS, settings.graceMs / 2));
    const restMs = settings.graceMs - (clock.now() - startedAt);
    await Promise.race([
      this.frontend.http.drain(),
      this.sleep(restMs - STOP_MARGIN_MS),
    ]);
    await this.config.stop();
  }

  /** This node may order workers, for the lead or for its zone. */
  private async warmUp(): Promise<void> {
    const {log, settings} = this.node.opts;
    const calls = new ClientWarmUp(this.client, settings.readiness!);
    while (!calls.isOver && !this.isDraining && this.gateway.openJobs === 0) {
      await calls.step();
      await this.sleep(DISPATCH_TICK_MS);
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
    return !this.isDraining && now - this.leadSeenAt < NO_LEAD_MS;
  }

  private tick(): void {
    const {clock} = this.node.opts;
    const now = clock.now();
    if (this.gateway.hasDispatcher) this.leadSeenAt = now;
    this.fallback.tick(now);
    this.presence.tick(now);
    this.gateway.tick(now);
    const {isDispatching} = this.fallback;
    const delayMs = isDispatching ? DISPATCH_TICK_MS : TICK_MS;
    clock.schedule(delayMs, () => this.tick());
  }
}
