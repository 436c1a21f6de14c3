/**
 * Time for which callers send a job again whose answer they did not receive, and
 * a margin.
 */
const RETENTION_MS = 10_000;

/** Ids of the jobs of which a task was started recently. */
export class RecentStarts {
  private readonly byId = new Map<string, number>();

  get ids(): Iterable<string> {
    return this.byId.keys();
  }

  record(id: string, now: number): void {
    // Keeps the entries in the order of their times.
    this.byId.delete(id);
    this.byId.set(id, now);
  }

  has(id: string): boolean {
    return this.byId.has(id);
  }

  expire(now: number): void {
    for (const [id, at] of this.byId) {
      if (now - at < RETENTION_MS) return;
      this.byId.delete(id);
    }
  }
}
