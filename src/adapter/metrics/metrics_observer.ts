import {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import type {JobRecord} from '../../core/job/job_record.js';
import type {JobSpec} from '../../core/job/job_spec.js';
import type {Refusal} from '../../core/job/refusal.js';
import type {HistogramSet} from './histogram_set.js';
import type {MetricSink} from './metric_sink.js';

/** Records measurements of the dispatcher as histograms and metrics. */
export class MetricsObserver extends DispatchObserver {
  constructor(
    private readonly histograms: HistogramSet,
    private readonly sink: MetricSink | undefined,
  ) {
    super();
  }

  override refused(job: JobSpec, {code}: Refusal): void {
    // The tenant is not a tag: callers choose tenant names, and each one would
    // create a time series.
    this.sink?.increment('jobs.refused', {class: job.className, code});
  }

  override started(job: JobSpec, queuedMs: number): void {
    this.histograms.record('queue', 'class', job.className, queuedMs);
    this.histograms.record('queue', 'tenant', job.tenant, queuedMs);
    this.sink?.timing('tasks.queue_time', queuedMs, {class: job.className});
  }

  override finished({spec: job, status}: JobRecord, now: number): void {
    // A record created by a cancel without a submission has no class.
    if (job.className === '') return;
    this.sink?.increment('jobs.finished', {class: job.className, status});
    // The duration of a cancelled job depends on its caller, not on the system.
    if (status === 'cancelled') return;
    const responseMs = now - job.submittedAt;
    this.histograms.record('response', 'class', job.className, responseMs);
    this.histograms.record('response', 'tenant', job.tenant, responseMs);
    const tags = {class: job.className, status};
    this.sink?.timing('jobs.response_time', responseMs, tags);
  }
}
