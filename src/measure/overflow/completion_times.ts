import {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import type {JobRecord} from '../../core/job/job_record.js';

/** Notes when each job was complete. */
export class FinishTimes extends DispatchObserver {
  /** Epoch milliseconds of the end of each complete job, by key. */
  readonly ends = new Map<string, number>();

  override refused(): void {}

  override started(): void {}

  override finished(job: JobRecord, now: number): void {
    if (job.status === 'complete') this.ends.set(job.spec.key, now);
  }
}
