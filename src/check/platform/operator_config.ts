const HOST = 'emulated.example';
/** Part of every complete configuration. */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 262_144,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** One configuration as an operator sends it. */
export class OperatorConfig {
  static readonly HOST = HOST;
  static readonly SERVICES = ['guarded', 'unguarded'] as const;

  constructor(
    readonly version: number,
    /** Service of each path prefix. */
    readonly routes: ReadonlyMap<string, string>,
    readonly timeoutMs: number,
  ) {}

  toBody() {
    const routes = [...this.routes].map(([prefix, backend]) => ({
      name: `r${prefix.replaceAll('/', '-')}`,
      host: HOST,
      path_prefix: prefix,
      type: 'unsafe',
      timeout_ms: this.timeoutMs,
      target_duration_ms: 1_000,
      priority: 0,
      max_attempts: 4,
      stretch: 1.6,
      backend,
    }));
    const backends = OperatorConfig.SERVICES.map(name => ({
      name,
      health_check_path: '/health',
      max_connections: 64,
      protocol: 'h1',
      tls: false,
      enforces_capacity: name === 'guarded',
      standby: false,
    }));
    return {version: this.version, routes, backends, limits: LIMITS};
  }
}
