import type {LeasedWorker} from '../lease/leased_worker.js';

/** Weight of the latest run in the failure rate of a worker. */
const WEIGHT = 0.25;
/** Failure rate above which a worker is given no starts. */
const MAX_FAILURE_RATE = 0.45;
/** Time without starts after which one task is tried on the worker again. */
const PAUSE_MS = 3_000;

interface FailureRecord {
  failureRate: number;
  pausedUntil: number;
}

/** Circuit breaker that withholds starts from workers with many failures. */
export class WorkerCircuitBreaker {
  private readonly records = new Map<string, FailureRecord>();

  recordEnd(workerId: string, hasFailed: boolean, now: number): void {
    const record = this.records.get(workerId) ?? {
      failureRate: 0,
      pausedUntil: 0,
    };
    record.failureRate += WEIGHT * ((hasFailed ? 1 : 0) - record.failureRate);
    if (hasFailed && record.failureRate > MAX_FAILURE_RATE) {
      record.pausedUntil = now + PAUSE_MS;
    }
    this.records.set(workerId, record);
  }

  /** Whether a start is allowed; a failing worker gets one run at a time. */
  allows(worker: LeasedWorker, now: number): boolean {
    const record = this.records.get(worker.report.id);
    if (!record || record.failureRate <= MAX_FAILURE_RATE) return true;
    return now >= record.pausedUntil && worker.runs.size === 0;
  }

  remove(workerId: string): void {
    this.records.delete(workerId);
  }
}
