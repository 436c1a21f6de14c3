import {jobSpecOf} from '../../../test-support/fakes/job_spec_of.js';
import {newJobKey} from '../../../test-support/fakes/new_job_key.js';
import type {ZonesBench} from '../../../test-support/fakes/zones_bench.js';
import type {TraceJob} from '../workload/trace_job.js';
import type {FinishTimes} from './finish_times.js';

/** Tries of one job, the first included. */
const MAX_TRIES = 6;

/** Submits the jobs of a trace to one zone, and again after a refusal. */
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
   * Response / ideal of each job after the warm-up. `delayMs` is the part of
   * the ideal beside the longest task, `callerMs` that of the caller's way.
   */
  ratios(
    {ends}: FinishTimes,
    warmUpMs: number,
    delayMs: number,
    callerMs: number,
  ): number[] {
    const measured = this.trace.filter(job => job.atMs >= warmUpMs);
    return measured.map(job => {
      const endAt = ends.get(this.keys.get(job) ?? '') ?? Infinity;
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
    const taken = dispatcher.submit(key, spec, now);
    if (taken.isOk) {
      this.keys.set(job, key.text);
      return;
    }
    const {retryAfterMs} = taken.error;
    if (retryAfterMs === undefined || attempt >= MAX_TRIES) return;
    clock.schedule(retryAfterMs, () => this.submit(job, attempt + 1));
  }
}
