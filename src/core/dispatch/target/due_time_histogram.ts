const MIN_BUCKET_MS = 20;
/** Number of buckets per target; each admission iterates over all buckets. */
const BUCKETS_PER_TARGET = 64;

/** Number of queued tasks of a class by the due time of their jobs. */
export class DueTimeHistogram {
  private readonly bucketMs: number;
  private readonly counts = new Map<number, number>();

  constructor(targetMs: number) {
    this.bucketMs = Math.max(MIN_BUCKET_MS, targetMs / BUCKETS_PER_TARGET);
  }

  /** Changes the number of tasks with this due time by `change`. */
  add(dueTime: number, change: number): void {
    const bucket = Math.floor(dueTime / this.bucketMs);
    const count = (this.counts.get(bucket) ?? 0) + change;
    if (count > 0) this.counts.set(bucket, count);
    else this.counts.delete(bucket);
  }

  /** Number of tasks due by `dueTime`, with the precision of one bucket. */
  countDueBy(dueTime: number): number {
    const last = Math.floor(dueTime / this.bucketMs);
    let sum = 0;
    for (const [bucket, count] of this.counts) if (bucket <= last) sum += count;
    return sum;
  }
}
