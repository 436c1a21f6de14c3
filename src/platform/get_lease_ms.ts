import type {PlatformSettings} from './platform_settings.js';

/**
 * Short leases bound the time for which a successor must wait for workers that
 * it cannot reach; they cover two lost renewals.
 */
const LEASE_MS = 600;

/** Lease that dispatchers ask workers for, in ms. */
export function getLeaseMs({leaseMs}: PlatformSettings): number {
  return Math.min(LEASE_MS, leaseMs);
}
