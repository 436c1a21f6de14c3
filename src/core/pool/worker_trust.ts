import type {LeasedWorker} from './leased_worker.js';

/** Weight of a new end in a worker's share of failures. */
const WEIGHT = 0.25;
/** A worker whose recent share of failures exceeds this gets no starts. */
const MAX_SHARE = 0.45;
/** Time without starts after which one task tries the worker again. */
const PAUSE_MS = 3_000;

interface Record {
  share: number;
  pausedUntil: number;
}

/** Keeps work away from workers that fail what they start. */
export class WorkerTrust {
  private readonly records = new Map<string, Record>();

  noteEnd(workerId: string, hasFailed: boolean, now: number): void {
    const record = this.records.get(workerId) ?? {share: 0, pausedUntil: 0};
    record.share += WEIGHT * ((hasFailed ? 1 : 0) - record.share);
    if (hasFailed && record.share > MAX_SHARE) {
      record.pausedUntil = now + PAUSE_MS;
    }
    this.records.set(workerId, record);
  }

  /** Whether the worker may get a start; a distrusted one gets one at a time. */
  mayStart(worker: LeasedWorker, now: number): boolean {
    const record = this.records.get(worker.report.id);
    if (!record || record.share <= MAX_SHARE) return true;
    return now >= record.pausedUntil && worker.runs.size === 0;
  }

  forget(workerId: string): void {
    this.records.delete(workerId);
  }
}
