import type {ConsolaInstance} from 'consola';
import {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import type {JobRecord} from '../../core/job/job_record.js';
import type {JobSpec} from '../../core/job/job_spec.js';
import type {Refusal} from '../../core/job/refusal.js';

/**
 * Logs refused and finished jobs at level `debug` and forwards all events. Failure
 * reasons are not logged, because upstreams may quote payloads in them.
 */
export class LoggingObserver extends DispatchObserver {
  constructor(
    private readonly log: ConsolaInstance,
    private readonly next: DispatchObserver,
  ) {
    super();
  }

  override refused(job: JobSpec, refusal: Refusal): void {
    const {code, outcome} = refusal;
    this.log.debug('job refused', {...fields(job), code, outcome});
    this.next.refused(job, refusal);
  }

  override started(job: JobSpec, queuedMs: number): void {
    this.next.started(job, queuedMs);
  }

  override finished(record: JobRecord, now: number): void {
    const {spec, status} = record;
    this.log.debug('job finished', {
      ...fields(spec),
      status,
      response_ms: now - spec.submittedAt,
    });
    this.next.finished(record, now);
  }
}

function fields({key, className, tenant}: JobSpec): object {
  return {job: key, class: className, tenant};
}
