import {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import type {JobRecord} from '../../core/job/job_record.js';

/** Records when each job was completed. */
export class CompletionTimes extends DispatchObserver {
  /** Completion time of each complete job in epoch ms, by key. */
  readonly completedAt = new Map<string, number>();

  override refused(): void {}

  override started(): void {}

  override finished(job: JobRecord, now: number): void {
    if (job.status === 'complete') this.completedAt.set(job.spec.key, now);
  }
}
