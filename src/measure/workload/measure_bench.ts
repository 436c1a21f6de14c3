import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import type {ClassConfig} from '../../core/config/class_config.js';
import type {ConfigSource} from '../../core/config/config_source.js';
import type {TenantConfig} from '../../core/config/tenant_config.js';
import type {DispatchPolicy} from '../../core/dispatch/dispatch_policy.js';
import type {JobKey} from '../../core/job/job_key.js';
import {CountingFleet} from './counting_fleet.js';
import type {JobResult} from './job_result.js';
import type {TraceJob} from './trace_job.js';

interface MeasureBenchOptions {
  readonly workers: number;
  readonly slots: number;
  readonly rackSize: number;
  /** One-way delay between the dispatcher and workers. */
  readonly workerDelayMs: number;
  readonly callerDelayMs: number;
  readonly classes: readonly ClassConfig[];
  readonly tenants?: readonly TenantConfig[];
  readonly policy: (config: ConfigSource) => DispatchPolicy;
  /** Whether the jobs allow retries of their tasks. Default true. */
  readonly repeatable?: boolean;
}

interface Submission {
  readonly job: TraceJob;
  key: JobKey | undefined;
  /** Time of the last submission, in ms since the start of the run. */
  submittedAtMs: number;
  refusals: number;
}

/** Highest number of submissions of a job, including the first. */
const MAX_SUBMISSIONS = 6;
/** Time after the last arrival for which the run goes on. */
const DRAIN_MS = 60_000;

/** Runs a trace of jobs on the decision core with a fake clock. */
export class MeasureBench {
  readonly fleet: CountingFleet;
  readonly bench: DispatchBench;
  /** CPU time of the run in ms, including that of the fakes. */
  cpuMs = 0;
  private readonly startAt: number;

  constructor(private readonly opts: MeasureBenchOptions) {
    let fleet: CountingFleet | undefined;
    this.bench = new DispatchBench({
      ...opts,
      fleet: clock => {
        fleet = new CountingFleet({clock, delayMs: opts.workerDelayMs});
        return fleet;
      },
    });
    this.fleet = fleet!;
    this.startAt = this.bench.clock.now();
  }

  /** Milliseconds since the start of the run. */
  get elapsedMs(): number {
    return this.bench.clock.now() - this.startAt;
  }

  /** Calls `callback` at `ms` after the start of the run. */
  at(ms: number, callback: () => void): void {
    this.bench.clock.schedule(ms - this.elapsedMs, callback);
  }

  run(trace: readonly TraceJob[], drainMs = DRAIN_MS): JobResult[] {
    const submissions = trace.map((job): Submission => {
      return {job, key: undefined, submittedAtMs: job.atMs, refusals: 0};
    });
    for (const submission of submissions) {
      this.at(submission.job.atMs, () => this.submit(submission));
    }
    const before = process.cpuUsage();
    this.bench.clock.advance((trace.at(-1)?.atMs ?? 0) + drainMs);
    const {user, system} = process.cpuUsage(before);
    this.cpuMs += (user + system) / 1_000;
    const finishedAt = new Map(this.bench.finished.map(f => [f.key, f.at]));
    return submissions.map(s => this.resultOf(s, finishedAt));
  }

  private submit(submission: Submission): void {
    const {bench} = this;
    const {job} = submission;
    const {cancelAtMs} = job;
    if (cancelAtMs !== undefined && cancelAtMs <= this.elapsedMs) return;
    submission.submittedAtMs = this.elapsedMs;
    const key = bench.newKey();
    const spec = bench.spec(key, job.taskMs, {
      className: job.className,
      tenant: job.tenant,
      fingerprint: '',
      repeatable: this.opts.repeatable ?? true,
    });
    const admission = bench.dispatcher.submit(key, spec, bench.clock.now());
    if (admission.isErr) {
      submission.refusals += 1;
      const {retryAfterMs} = admission.error;
      if (
        submission.refusals >= MAX_SUBMISSIONS ||
        retryAfterMs === undefined
      ) {
        return;
      }
      bench.clock.schedule(retryAfterMs, () => this.submit(submission));
      return;
    }
    submission.key = key;
    if (cancelAtMs !== undefined) this.at(cancelAtMs, () => this.cancel(key));
  }

  private cancel(key: JobKey): void {
    const {bench} = this;
    if (bench.answer(key)?.status === 'complete') return;
    this.fleet.cancelled.add(key.text);
    bench.dispatcher.cancel(key, bench.clock.now());
  }

  private resultOf(
    {job, key, submittedAtMs: triedAtMs, refusals}: Submission,
    finishedAt: ReadonlyMap<string, number>,
  ): JobResult {
    const {callerDelayMs, workerDelayMs} = this.opts;
    let longest = 0;
    for (const ms of job.taskMs) longest = Math.max(longest, ms);
    const idealMs = longest + 2 * (callerDelayMs + workerDelayMs);
    const base = {
      job,
      refusals,
      idealMs,
      responseMs: Infinity,
      admittedResponseMs: Infinity,
    };
    if (!key) return {...base, status: 'refused'};
    const status = this.bench.answer(key)?.status;
    const at = finishedAt.get(key.text);
    if (status === undefined || status === 'running' || at === undefined) {
      return {...base, status: 'unfinished'};
    }
    const answeredMs = at - this.startAt + 2 * callerDelayMs;
    return {
      ...base,
      status,
      responseMs: answeredMs - job.atMs,
      admittedResponseMs: answeredMs - triedAtMs,
    };
  }
}
