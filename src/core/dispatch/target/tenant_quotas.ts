import type {ConfigSource} from '../../config/config_source.js';
import type {ClassState} from './class_state.js';

/** Number of slots that each tenant holds over all classes, and its quota. */
export class TenantQuotas {
  private readonly running = new Map<string, number>();

  constructor(private readonly config: ConfigSource) {}

  occupy(tenant: string): void {
    this.running.set(tenant, (this.running.get(tenant) ?? 0) + 1);
  }

  release(tenant: string): void {
    const left = (this.running.get(tenant) ?? 0) - 1;
    if (left > 0) this.running.set(tenant, left);
    else this.running.delete(tenant);
  }

  reset(): void {
    this.running.clear();
  }

  /** Number of slots that the tenant may hold; Infinity without a quota. */
  getQuota(tenant: string): number {
    return this.config.current().tenants[tenant]?.quota_slots ?? Infinity;
  }

  /** Number of further slots that the tenant may occupy. */
  getRemainingSlots(tenant: string): number {
    return this.getQuota(tenant) - (this.running.get(tenant) ?? 0);
  }

  /** Number of queued tasks of the class that exceed their tenants' quotas. */
  countOverQuota({waitingTenants}: ClassState): number {
    let count = 0;
    for (const {name, queued} of waitingTenants) {
      count += Math.max(0, queued - Math.max(0, this.getRemainingSlots(name)));
    }
    return count;
  }
}
