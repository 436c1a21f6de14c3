import type {HttpLimits} from '../../adapter/http/http_limits.js';
import type {Settings} from './settings.js';

/** Returns the limits of the HTTP servers that are configured in the settings. */
export function getHttpLimits({http}: Settings): HttpLimits {
  return {
    maxConnections: http.max_connections,
    maxRequestsPerConnection: http.max_requests_per_connection,
    headersTimeoutMs: http.headers_timeout_ms,
    requestTimeoutMs: http.request_timeout_ms,
    keepAliveTimeoutMs: http.keep_alive_timeout_ms,
  };
}
