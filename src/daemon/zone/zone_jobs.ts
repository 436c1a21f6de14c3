import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {Dispatcher} from '../../core/dispatch/dispatcher.js';
import type {JobAnswer} from '../../core/job/job_answer.js';
import type {JobKey} from '../../core/job/job_key.js';
import type {JobSpec} from '../../core/job/job_spec.js';
import type {JobTable} from '../../core/job/job_table.js';
import type {Refusal} from '../../core/job/refusal.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import {KeyWaiters} from './key_waiters.js';

/** Serves requests about the zone's jobs while this node is its dispatcher. */
export class ZoneJobs {
  /** Requests that wait until a majority has stored the job. */
  private readonly commits: KeyWaiters;
  /** Requests that wait until the job has finished. */
  private readonly ends: KeyWaiters;

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly table: JobTable,
    private readonly clock: Clock,
  ) {
    this.commits = new KeyWaiters(clock);
    this.ends = new KeyWaiters(clock);
  }

  async submit(
    key: JobKey,
    spec: JobSpec,
    waitMs: number,
  ): Promise<Result<JobAnswer, Refusal>> {
    const accepted = this.dispatcher.submit(key, spec, this.clock.now());
    if (accepted.isOk) return this.wait(key.text, waitMs);
    const refusal = accepted.error;
    if (refusal.outcome !== RunOutcome.notRun) return Result.err(refusal);
    const confirmed = await new Promise<Result<void, Refusal>>(resolve =>
      this.dispatcher.confirmRefusal(spec, refusal, resolve),
    );
    return confirmed.isOk
      ? this.wait(key.text, waitMs)
      : Result.err(confirmed.error);
  }

  async fetch(
    key: JobKey,
    waitMs: number,
  ): Promise<Result<JobAnswer, Refusal>> {
    if (!this.dispatcher.isLeading) return Result.err(NOT_LEADER);
    if (!this.isKnown(key.text)) {
      return Result.err({
        code: 'not_found',
        outcome: RunOutcome.unknown,
        detail: 'the zone has no job with this key',
      });
    }
    return this.wait(key.text, waitMs);
  }

  async cancel(key: JobKey): Promise<Result<JobAnswer, Refusal>> {
    const cancelled = this.dispatcher.cancel(key, this.clock.now());
    if (cancelled.isErr) return Result.err(cancelled.error);
    return this.wait(key.text, COMMIT_WAIT_MS);
  }

  /**
   * Returns the state of a task that another zone submitted here. A task that has
   * not arrived is cancelled, so that it will not run when it does.
   */
  async settle(key: JobKey): Promise<Result<JobAnswer, Refusal>> {
    if (!this.dispatcher.isLeading) return Result.err(NOT_LEADER);
    if (!this.isKnown(key.text)) return this.cancel(key);
    return this.wait(key.text, 0);
  }

  acknowledge(key: JobKey): void {
    this.dispatcher.acknowledge(key.text);
  }

  /** Wakes the requests that wait until the job is committed. */
  accepted(key: string): void {
    this.commits.wake(key);
  }

  /** Wakes the requests that wait until the job has finished. */
  finished(key: string): void {
    this.ends.wake(key);
  }

  /** Wakes all requests, which are refused because another node dispatches now. */
  leadershipLost(): void {
    this.commits.wakeAll();
    this.ends.wakeAll();
  }

  private isKnown(key: string): boolean {
    return this.table.get(key) !== undefined || this.dispatcher.isActive(key);
  }

  /** Waits for the job; replies only with state that a majority has stored. */
  private async wait(
    key: string,
    waitMs: number,
  ): Promise<Result<JobAnswer, Refusal>> {
    if (!this.table.get(key)) await this.commits.wait(key, COMMIT_WAIT_MS);
    if (waitMs > 0 && !this.isFinished(key)) await this.ends.wait(key, waitMs);
    if (!this.dispatcher.isLeading) return Result.err(NOT_LEADER);
    const record = this.table.get(key);
    return record
      ? Result.ok(this.table.answer(record))
      : Result.err(NOT_STORED);
  }

  private isFinished(key: string): boolean {
    const record = this.table.get(key);
    return record !== undefined && record.status !== 'running';
  }
}

/** Longest wait for a majority of the group to store a change. */
const COMMIT_WAIT_MS = 2_000;

const NOT_LEADER: Refusal = {
  code: 'not_leader',
  outcome: RunOutcome.unknown,
  detail: 'this node does not lead the zone',
};

const NOT_STORED: Refusal = {
  code: 'unreachable',
  outcome: RunOutcome.unknown,
  detail: 'the job was not stored by a majority of the zone in time',
  retryAfterMs: COMMIT_WAIT_MS,
};
