import type {PlatformSettings} from './platform_settings.js';

/**
 * A new leader must wait this long for workers that it cannot reach, so a higher
 * value lengthens failover. A lower one would not survive two lost renewals.
 */
const LEASE_MS = 600;

/** Lease that dispatchers request from workers, in ms. */
export function getLeaseMs({leaseMs}: PlatformSettings): number {
  return Math.min(LEASE_MS, leaseMs);
}
