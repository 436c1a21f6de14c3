/** Time within which late copies of a request arrive, with a margin. */
const RETENTION_MS = 30_000;
/** Bounds the memory: some 7 MB of ids. */
const MAX_JOBS = 50_000;

/** Ids of recently cancelled jobs. A copy of their requests must start nothing. */
export class CancelledJobs {
  private readonly byId = new Map<string, number>();

  /** Records a cancel; the oldest one is dropped if there are too many. */
  add(id: string, now: number): void {
    this.expire(now);
    // Keeps the entries in the order of their times.
    this.byId.delete(id);
    this.byId.set(id, now);
    if (this.byId.size <= MAX_JOBS) return;
    for (const oldest of this.byId.keys()) {
      this.byId.delete(oldest);
      return;
    }
  }

  has(id: string, now: number): boolean {
    const at = this.byId.get(id);
    return at !== undefined && now - at < RETENTION_MS;
  }

  /** Ids of the jobs, in the order of their cancels. */
  ids(now: number): string[] {
    this.expire(now);
    return [...this.byId.keys()];
  }

  private expire(now: number): void {
    for (const [id, at] of this.byId) {
      if (now - at < RETENTION_MS) return;
      this.byId.delete(id);
    }
  }
}
