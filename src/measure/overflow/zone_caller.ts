import {jobSpecOf} from '../../../test-support/fakes/job_spec_of.js';
import {newJobKey} from '../../../test-support/fakes/new_job_key.js';
import type {ZonesBench} from '../../../test-support/fakes/zones_bench.js';
import type {TraceJob} from '../workload/trace_job.js';
import type {CompletionTimes} from './completion_times.js';

/** Highest number of submissions of a job, including the first. */
const MAX_SUBMISSIONS = 6;

/** Submits the jobs of a trace to one zone and retries after refusals. */
export class ZoneCaller {
  private readonly keys = new Map<TraceJob, string>();
  private readonly startAt: number;

  constructor(
    private readonly bench: ZonesBench,
    private readonly zone: string,
    private readonly trace: readonly TraceJob[],
  ) {
    this.startAt = bench.clock.now();
    for (const job of trace) {
      bench.clock.schedule(job.atMs, () => this.submit(job, 1));
    }
  }

  /**
   * Returns the response time divided by the ideal one for each job after the
   * warm-up. The ideal time is the run time of the longest task plus `delayMs`.
   * `callerMs` is the round trip between caller and zone, which is added to the
   * recorded time.
   */
  responseRatios(
    {completedAt}: CompletionTimes,
    warmUpMs: number,
    delayMs: number,
    callerMs: number,
  ): number[] {
    const measured = this.trace.filter(job => job.atMs >= warmUpMs);
    return measured.map(job => {
      const endAt = completedAt.get(this.keys.get(job) ?? '') ?? Infinity;
      const responseMs = endAt - this.startAt - job.atMs + callerMs;
      return responseMs / (Math.max(...job.taskMs) + delayMs);
    });
  }

  private submit(job: TraceJob, attempt: number): void {
    const {clock} = this.bench;
    const now = clock.now();
    const key = newJobKey(this.zone, now);
    const spec = jobSpecOf(key, job.taskMs, now, {
      className: job.className,
      tenant: job.tenant,
      fingerprint: key.text,
    });
    const {dispatcher} = this.bench.zone(this.zone).service;
    const admission = dispatcher.submit(key, spec, now);
    if (admission.isOk) {
      this.keys.set(job, key.text);
      return;
    }
    const {retryAfterMs} = admission.error;
    if (retryAfterMs === undefined || attempt >= MAX_SUBMISSIONS) return;
    clock.schedule(retryAfterMs, () => this.submit(job, attempt + 1));
  }
}
