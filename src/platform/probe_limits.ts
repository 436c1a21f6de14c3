import type {HttpLimits} from '../adapter/http/http_limits.js';

/** Limits of a server that only the platform and operators call, now and then. */
export const PROBE_LIMITS: HttpLimits = {maxConnections: 64};
