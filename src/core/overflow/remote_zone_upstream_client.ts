import type {Result} from 'true-myth';
import type {Clock} from '../clock/clock.js';
import type {JobAnswer} from '../job/job_answer.js';
import {JobKey} from '../job/job_key.js';
import type {JobRequest} from '../job/job_request.js';
import type {JobSpec} from '../job/job_spec.js';
import type {Refusal} from '../job/refusal.js';
import {RunOutcome} from '../job/run_outcome.js';
import type {AttemptReport} from '../upstream/attempt_report.js';
import type {AttemptStart} from '../upstream/attempt_start.js';
import {UpstreamClient} from '../upstream/upstream_client.js';
import type {WorkerTarget} from '../upstream/worker_target.js';

/**
 * Longest wait for the reply to a start, which comes when the task ends. For
 * longer tasks, the dispatcher polls the state of the attempt.
 */
const START_WAIT_MS = 30_000;

interface RemoteZoneUpstreamClientOptions {
  readonly clock: Clock;
  /** The borrowing zone. */
  readonly zone: string;
  /** Sends a request to the dispatcher of the key's home zone. */
  readonly route: (
    key: JobKey,
    req: JobRequest,
  ) => Promise<Result<JobAnswer, Refusal>>;
}

/**
 * Runs attempts on slots lent by other zones. Each attempt is submitted to the
 * lending zone as a job with one task and a key of its own. It thus gets the
 * de-duplication of jobs, and its result survives a failover of that zone.
 */
export class RemoteZoneUpstreamClient extends UpstreamClient {
  constructor(private readonly opts: RemoteZoneUpstreamClientOptions) {
    super();
  }

  override start(
    target: WorkerTarget,
    _epoch: number,
    attempts: readonly AttemptStart[],
  ): void {
    for (const attempt of attempts) {
      void this.sendAndReport(target, attempt.id, {
        kind: 'submit',
        key: attempt.id,
        spec: this.specOf(attempt),
        waitMs: START_WAIT_MS,
      });
    }
  }

  override stop(
    target: WorkerTarget,
    _epoch: number,
    attempts: readonly string[],
  ): void {
    for (const key of attempts) {
      void this.sendAndReport(target, key, {kind: 'cancel', key});
    }
  }

  override settle(
    target: WorkerTarget,
    _epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void {
    // The lending zone keeps the record until the retention of its key ends.
    this.listener?.forgotten(target, forget);
    for (const key of attempts) {
      void this.sendAndReport(target, key, {kind: 'settle', key});
    }
  }

  /**
   * The lending zone does not check epochs of this one. Instead, each attempt
   * of an earlier leader is settled, which rejects starts that are still under
   * way.
   */
  override fence(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void {
    void this.settleAll(target, epoch, attempts);
  }

  private async settleAll(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): Promise<void> {
    const reports = await Promise.all(
      attempts.map(key => this.request(key, {kind: 'settle', key})),
    );
    const known = reports.filter(report => report !== undefined);
    // The dispatcher retries the fence unless every attempt is reported.
    if (known.length < attempts.length) return;
    this.listener?.fenced(target, epoch, known);
  }

  private async sendAndReport(
    target: WorkerTarget,
    id: string,
    req: JobRequest,
  ): Promise<void> {
    const report = await this.request(id, req);
    if (report) this.listener?.reported(target, [report]);
  }

  private async request(
    id: string,
    req: JobRequest,
  ): Promise<AttemptReport | undefined> {
    const key = JobKey.parse(id);
    if (key.isErr) return undefined;
    const result = await this.opts.route(key.value, req);
    return result.isOk
      ? reportOf(id, result.value)
      : reportOfRefusal(id, result.error);
  }

  private specOf(start: AttemptStart): JobSpec {
    const {memory_mb, accelerators} = start;
    const key = JobKey.parse(start.id);
    return {
      key: start.id,
      keyTimeMs: key.isOk ? key.value.timeMs : 0,
      className: start.class,
      tenant: start.tenant,
      // Retries are decided by the borrowing zone.
      repeatable: false,
      tasks: [{payload: start.payload, memory_mb, accelerators}],
      fingerprint: `${start.key} ${start.task}`,
      submittedAt: this.opts.clock.now(),
      lentTo: this.opts.zone,
    };
  }
}

function reportOf(id: string, answer: JobAnswer): AttemptReport {
  switch (answer.status) {
    case 'running':
      return {id, state: 'running'};
    case 'complete':
      return {id, state: 'succeeded', result: answer.results[0]};
    case 'cancelled':
    case 'failed': {
      const {outcome, reason, status} = answer;
      if (outcome === RunOutcome.notRun) {
        return {id, state: 'never_started', reason};
      }
      if (status === 'cancelled') return {id, state: 'stopped'};
      return outcome === RunOutcome.failed
        ? {id, state: 'failed', error: reason}
        : {id, state: 'unknown', reason};
    }
  }
}

/** Undefined if the refusal leaves the state of the attempt open. */
function reportOfRefusal(
  id: string,
  {code, outcome, detail}: Refusal,
): AttemptReport | undefined {
  if (outcome === RunOutcome.notRun) {
    return {id, state: 'never_started', reason: detail};
  }
  if (code === 'expired') return {id, state: 'unknown', reason: detail};
  return undefined;
}
