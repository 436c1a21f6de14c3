import type {HttpLimits} from '../adapter/http/http_limits.js';
import type {PlatformSettings} from './platform_settings.js';

/** Part of the memory of a VM that incomplete request bodies may occupy. */
const BODY_SHARE = 1 / 8;

/** Part of the descriptors of a VM that connections of clients may use. */
const CONNECTION_SHARE = 1 / 2;
/** Descriptors that the platform reserves. */
const RESERVED_DESCRIPTORS = 200;

/** Limits of an HTTP server that clients outside the deployment call. */
export function getHttpLimits(settings: PlatformSettings): HttpLimits {
  const {memoryBytes, maxOpenFiles} = settings;
  const descriptors = Math.max(2, maxOpenFiles - RESERVED_DESCRIPTORS);
  return {
    maxTotalBodyBytes: BODY_SHARE * memoryBytes,
    maxConnections: Math.floor(CONNECTION_SHARE * descriptors),
  };
}
