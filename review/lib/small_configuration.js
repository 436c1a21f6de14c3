/** A configuration with one queue, as on the operator's page. */
export function smallConfiguration(version, {service, host, prefix}, route = {}) {
  return {
    version,
    routes: [
      {
        name: 'r-wrr6x73',
        host,
        path_prefix: prefix,
        type: 'unsafe',
        timeout_ms: 1_500,
        target_duration_ms: 60,
        priority: 0,
        backend: service,
        max_attempts: 3,
        stretch: 1.6,
        ...route,
      },
    ],
    backends: [
      {
        name: service,
        health_check_path: '/health',
        max_connections: 64,
        protocol: 'h1',
        tls: false,
        enforces_capacity: true,
        standby: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 262_144,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
