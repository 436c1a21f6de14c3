import type {ConfigSource} from '../../config/config_source.js';
import type {ClassState} from './class_state.js';

/** Slots held by each tenant over all classes, against the tenants' quotas. */
export class TenantLimits {
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

  /** Slots that the tenant may hold at once; Infinity without a quota. */
  quotaOf(tenant: string): number {
    return this.config.current().tenants[tenant]?.quota_slots ?? Infinity;
  }

  /** Slots that the tenant may still take. */
  roomOf(tenant: string): number {
    return this.quotaOf(tenant) - (this.running.get(tenant) ?? 0);
  }

  /** Waiting tasks of the class that quotas hold back. */
  heldBack({waiting}: ClassState): number {
    let held = 0;
    for (const {name, live} of waiting) {
      held += Math.max(0, live - Math.max(0, this.roomOf(name)));
    }
    return held;
  }
}
