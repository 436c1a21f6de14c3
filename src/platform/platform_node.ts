import type {ConsolaInstance} from 'consola';
import {HttpServer} from '../adapter/http/http_server.js';
import {TcpPeerTransport} from '../adapter/peer/tcp_peer_transport.js';
import {ProcessorUsage} from '../adapter/processor_usage.js';
import type {Clock} from '../core/clock/clock.js';
import {NodeDirectory} from '../core/pool/node/node_directory.js';
import {LoadSampler} from '../daemon/pool/load_sampler.js';
import {LoopMonitor} from '../daemon/pool/loop_monitor.js';
import {PoolTelemetry} from '../daemon/pool/pool_telemetry.js';
import {PLATFORM_LINK_TIMING} from './platform_link_timing.js';
import type {PlatformSettings} from './platform_settings.js';
import {PROBE_LIMITS} from './probe_limits.js';
import {PortOpener} from './port_opener.js';

/** Must match the metrics port in the deploy file. */
const METRICS_PORT = 9_464;
interface PlatformNodeOptions {
  readonly settings: PlatformSettings;
  readonly clock: Clock;
  readonly log: ConsolaInstance;
}

/**
 * Parts that every process on the platform has: connections to other nodes, the
 * node directory, logs and metrics. The id of a node is its IP address.
 */
export class PlatformNode {
  readonly peers: TcpPeerTransport;
  readonly directory: NodeDirectory;
  readonly telemetry: PoolTelemetry;
  readonly loop: LoopMonitor;
  readonly load: LoadSampler;
  readonly ports: PortOpener;
  private readonly metrics: HttpServer;

  constructor(readonly opts: PlatformNodeOptions) {
    const {settings, clock, log} = opts;
    const {ip, peerPort, seeds} = settings;
    const locate = (node: string) => ({node, host: node, port: peerPort});
    this.ports = new PortOpener(opts);
    this.telemetry = new PoolTelemetry(log, clock);
    this.loop = new LoopMonitor(this.telemetry);
    this.load = new LoadSampler({
      telemetry: this.telemetry,
      loop: this.loop,
      processorMs: () => ProcessorUsage.totalMs(),
    });
    this.telemetry.addGauge(
      'processor_seconds',
      'Processor time used since the start',
      () => ProcessorUsage.totalMs() / 1_000,
    );
    this.directory = new NodeDirectory(ip, seeds);
    this.peers = new TcpPeerTransport({
      node: ip,
      listen: {host: ip, port: peerPort},
      peers: seeds.filter(seed => seed !== ip).map(locate),
      locate,
      linkTiming: PLATFORM_LINK_TIMING,
      clock,
      onError: detail => log.warn('peer_error', {detail}),
      onHandled: kind => this.telemetry.incrementCounter(`message_${kind}`),
    });
    this.metrics = this.createMetrics();
  }

  async start(): Promise<void> {
    await this.ports.open('metrics', () => this.metrics.start());
    await this.ports.open('peers', () => this.peers.start());
  }

  private createMetrics(): HttpServer {
    const {settings, log} = this.opts;
    const server = new HttpServer({
      host: settings.ip,
      port: METRICS_PORT,
      limits: PROBE_LIMITS,
      onError: detail => log.warn('metrics_error', {detail}),
    });
    server.route('GET', '/metrics', async (_req, res) => {
      const {registry} = this.telemetry;
      res.setHeader('content-type', registry.contentType);
      res.end(await registry.metrics());
    });
    return server;
  }
}
