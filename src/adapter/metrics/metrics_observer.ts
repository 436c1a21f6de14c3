import {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import type {JobRecord} from '../../core/job/job_record.js';
import type {JobSpec} from '../../core/job/job_spec.js';
import type {Refusal} from '../../core/job/refusal.js';
import type {HistogramSet} from './histogram_set.js';
import type {MetricSink} from './metric_sink.js';

/** Turns the dispatcher's measuring points into histograms and metrics. */
export class MetricsObserver extends DispatchObserver {
  constructor(
    private readonly histograms: HistogramSet,
    private readonly sink: MetricSink | undefined,
  ) {
    super();
  }

  override refused(job: JobSpec, {code}: Refusal): void {
    // Tenants are no tag: callers choose them, and each is a new time series.
    this.sink?.increment('jobs.refused', {class: job.className, code});
  }

  override started(job: JobSpec, queuedMs: number): void {
    this.histograms.record('queue', 'class', job.className, queuedMs);
    this.histograms.record('queue', 'tenant', job.tenant, queuedMs);
    this.sink?.timing('tasks.queue_time', queuedMs, {class: job.className});
  }

  override finished({spec: job, status}: JobRecord, now: number): void {
    // The record of a cancel without a submission has no class.
    if (job.className === '') return;
    this.sink?.increment('jobs.finished', {class: job.className, status});
    // A cancelled job ends when its caller wishes; its time says nothing.
    if (status === 'cancelled') return;
    const responseMs = now - job.submittedAt;
    this.histograms.record('response', 'class', job.className, responseMs);
    this.histograms.record('response', 'tenant', job.tenant, responseMs);
    const tags = {class: job.className, status};
    this.sink?.timing('jobs.response_time', responseMs, tags);
  }
}
