import type {ZoneGrant} from '../zones/zone_grant.js';

interface Entry {
  readonly to: ZoneGrant;
  readonly at: number;
}

/**
 * Time for which callers send a job again whose answer they did not receive, and
 * a margin.
 */
const RETENTION_MS = 10_000;

/**
 * Jobs that were moved recently, by id. A job that is submitted again goes to
 * the same zone, where it may still run.
 */
export class MovedJobs {
  private readonly byId = new Map<string, Entry>();

  get(id: string, now: number): ZoneGrant | undefined {
    this.expire(now);
    return this.byId.get(id)?.to;
  }

  record(id: string, to: ZoneGrant, now: number): void {
    this.expire(now);
    // Keeps the entries in the order of their times.
    this.byId.delete(id);
    this.byId.set(id, {to, at: now});
  }

  delete(id: string): void {
    this.byId.delete(id);
  }

  private expire(now: number): void {
    for (const [id, {at}] of this.byId) {
      if (now - at < RETENTION_MS) return;
      this.byId.delete(id);
    }
  }
}
