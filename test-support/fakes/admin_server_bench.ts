import {AdminApi} from '../../src/adapter/http/admin_api.js';
import {AdminServer} from '../../src/adapter/http/admin_server.js';
import {HistogramSet} from '../../src/adapter/metrics/histogram_set.js';
import {StaticConfigSource} from '../../src/core/config/static_config_source.js';
import {InMemoryConfigAdmin} from '../../src/daemon/admin/in_memory_config_admin.js';

/** Admin server on a free port with an in-memory configuration. */
export class AdminServerBench {
  static readonly TOKEN = 'bench-token';

  readonly source = new StaticConfigSource({
    version: 1,
    classes: {},
    tenants: {},
  });
  readonly config = new InMemoryConfigAdmin(this.source, 'a1', [
    'arbat',
    'medeu',
  ]);
  readonly histograms = new HistogramSet(100);
  readonly server: AdminServer;
  /** Number of drain requests. */
  drainCount = 0;

  constructor() {
    this.server = new AdminServer({
      host: '127.0.0.1',
      port: 0,
      token: AdminServerBench.TOKEN,
      api: new AdminApi({
        config: this.config,
        status: () => ({
          node: 'a1',
          zone: 'arbat',
          ready: true,
          draining: false,
          uptime_ms: 1,
          leads: true,
          dispatcher: 'a1',
          epoch: 1,
          jobs: 0,
          queued_tasks: 0,
          workers: 0,
          slots: 0,
          slots_used: 0,
          config_version: this.source.current().version,
          config_leader: 'a1',
        }),
        upstreams: () => [],
        histograms: () => this.histograms.summaries(),
        drain: () => {
          this.drainCount += 1;
        },
      }),
      onError: detail => {
        throw new Error(detail);
      },
    });
  }

  static async start(): Promise<AdminServerBench> {
    const bench = new AdminServerBench();
    await bench.server.http.start();
    return bench;
  }

  get url(): string {
    return `http://127.0.0.1:${this.server.port}`;
  }

  stop(): Promise<void> {
    return this.server.http.drain();
  }
}
