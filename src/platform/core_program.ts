import {SystemRandom} from '../adapter/system_random.js';
import {LeadService} from '../core/pool/lead_service.js';
import type {RoutingTable} from '../core/routing/routing_table.js';
import {ConfigService} from '../daemon/config/config_service.js';
import {ControlFrontend} from './control_frontend.js';
import {decodeConfig} from './decode_config.js';
import {HttpWorkerClient} from './http_worker_client.js';
import type {PlatformNode} from './platform_node.js';
import {Program} from './program.js';
import {splitAddress} from './split_address.js';

const TICK_MS = 20;
/**
 * Faster than the default: without a leader nothing is dispatched, and callers
 * wait for well under a second.
 */
const LOG_TIMING = {
  HEARTBEAT_MS: 100,
  ELECTION_TIMEOUT_MS: 400,
  FIRST_ELECTION_MS: 150,
  SNAPSHOT_RETRY_MS: 1_000,
  TRANSFER_TIMEOUT_MS: 1_000,
};

/**
 * Short leases bound the time for which a successor must wait for workers that
 * it cannot reach; they cover two lost renewals.
 */
const LEASE_MS = 600;

/** The process on a core machine: control, the log, and dispatch if it leads. */
export class CoreProgram extends Program {
  private readonly config: ConfigService;
  private readonly lead: LeadService;
  private readonly frontend: ControlFrontend;
  private table: RoutingTable | undefined;
  private isStopping = false;

  constructor(private readonly node: PlatformNode) {
    super();
    const {settings, clock, log} = node.opts;
    const {peers, directory, telemetry: observer} = node;
    const {ip, control, seeds} = settings;
    this.config = new ConfigService({
      node: ip,
      nodes: seeds.map(id => ({id, voter: true})),
      discovered: () => directory.coreIds(clock.now()),
      mayForm: settings.isFirstStart,
      voterTarget: 2 * settings.lostDisks + 1,
      timing: LOG_TIMING,
      tickMs: TICK_MS,
      dataDir: settings.dataDir,
      // The platform runs one process for each folder.
      locksDataDir: false,
      clock,
      peers,
      random: new SystemRandom(),
      log,
    });
    this.lead = new LeadService({
      node: ip,
      clock,
      peers,
      client: new HttpWorkerClient(),
      directory,
      leaseMs: Math.min(LEASE_MS, settings.leaseMs),
      reportAddress: control!,
      lead: now => this.config.lead(now),
      routing: () => this.routing(),
      observer,
    });
    this.frontend = new ControlFrontend({
      ...splitAddress(control!),
      config: this.config,
      lead: this.lead,
      observer,
      onError: detail => log.error('request_failed', {detail}),
    });
    observer.watch('is_leading', 'Whether this node dispatches', () =>
      Number(this.lead.isLeading),
    );
    observer.watch('pool_jobs', 'Jobs in the pool of this node', () => {
      return this.lead.openJobs;
    });
  }

  override async start(): Promise<void> {
    await this.node.start();
    await this.config.start();
    await this.frontend.http.start();
    this.tick();
  }

  /** Hands the lead over; the successor takes the runs over as they are. */
  override async stop(): Promise<void> {
    await this.config.stop();
    this.isStopping = true;
    this.lead.close();
    await this.frontend.http.drain();
  }

  /** The queues of the newest document, decoded once. */
  private routing(): RoutingTable | undefined {
    const document = this.config.committed?.document;
    if (!document) return undefined;
    if (this.table?.content.revision !== document.revision) {
      const decoded = decodeConfig(JSON.parse(document.content));
      if (decoded.isOk) this.table = decoded.value;
      else this.node.opts.log.error('config_unreadable', {...decoded});
    }
    return this.table;
  }

  private tick(): void {
    if (this.isStopping) return;
    const {clock} = this.node.opts;
    this.lead.tick(clock.now());
    clock.schedule(TICK_MS, () => this.tick());
  }
}
