import type {HttpLimits} from '../adapter/http/http_limits.js';
import type {PlatformSettings} from './platform_settings.js';

/** Part of the memory of a VM that incomplete request bodies may occupy. */
const BODY_SHARE = 1 / 8;

/** Limits of an HTTP server that clients outside the deployment call. */
export function getHttpLimits({memoryBytes}: PlatformSettings): HttpLimits {
  return {maxTotalBodyBytes: BODY_SHARE * memoryBytes};
}
