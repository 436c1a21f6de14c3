import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {Dispatcher} from '../../core/dispatch/dispatcher.js';
import type {JobAnswer} from '../../core/job/job_answer.js';
import type {JobKey} from '../../core/job/job_key.js';
import type {JobSpec} from '../../core/job/job_spec.js';
import type {JobTable} from '../../core/job/job_table.js';
import type {Refusal} from '../../core/job/refusal.js';
import {RunOutcome} from '../../core/job/run_outcome.js';

type Waiter = () => void;

/** Serves requests about the jobs of this zone while this node leads it. */
export class ZoneJobs {
  private readonly waiters = new Map<string, Set<Waiter>>();

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly table: JobTable,
    private readonly clock: Clock,
  ) {}

  async submit(
    key: JobKey,
    spec: JobSpec,
    waitMs: number,
  ): Promise<Result<JobAnswer, Refusal>> {
    const accepted = this.dispatcher.submit(key, spec, this.clock.now());
    if (accepted.isOk) return this.wait(key.text, waitMs);
    const refusal = accepted.error;
    if (refusal.outcome !== RunOutcome.notRun) return Result.err(refusal);
    const isConfirmed = await new Promise<boolean>(resolve =>
      this.dispatcher.confirm(resolve),
    );
    return Result.err(isConfirmed ? refusal : NOT_LEADER);
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
        detail: 'the zone knows no job under this key',
      });
    }
    return this.wait(key.text, waitMs);
  }

  async cancel(key: JobKey): Promise<Result<JobAnswer, Refusal>> {
    const cancelled = this.dispatcher.cancel(key, this.clock.now());
    if (cancelled.isErr) return Result.err(cancelled.error);
    return this.wait(key.text, COMMIT_WAIT_MS);
  }

  acknowledge(key: JobKey): void {
    this.dispatcher.acknowledge(key.text);
  }

  /** Wakes everyone who waits for the job. */
  finished(key: string): void {
    const waiting = this.waiters.get(key);
    this.waiters.delete(key);
    for (const wake of waiting ?? []) wake();
  }

  /** Wakes everyone; the lead went to another node. */
  leadershipLost(): void {
    for (const key of [...this.waiters.keys()]) this.finished(key);
  }

  private isKnown(key: string): boolean {
    return this.table.get(key) !== undefined || this.dispatcher.isActive(key);
  }

  private async wait(
    key: string,
    waitMs: number,
  ): Promise<Result<JobAnswer, Refusal>> {
    if (waitMs > 0 && !this.isFinished(key)) {
      await this.sleepUntilFinished(key, waitMs);
    }
    if (!this.dispatcher.isLeading) return Result.err(NOT_LEADER);
    const record = this.table.get(key);
    if (record) return Result.ok(this.table.answer(record));
    return Result.ok({status: 'running', key, done: 0, total: 0});
  }

  private isFinished(key: string): boolean {
    const record = this.table.get(key);
    return record !== undefined && record.status !== 'running';
  }

  private sleepUntilFinished(key: string, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const waiting = this.waiters.get(key) ?? new Set();
      this.waiters.set(key, waiting);
      const wake = () => {
        timer.cancel();
        waiting.delete(wake);
        if (waiting.size === 0) this.waiters.delete(key);
        resolve();
      };
      const timer = this.clock.schedule(waitMs, wake);
      waiting.add(wake);
    });
  }
}

/** A cancel answers when it is committed; this bounds the wait. */
const COMMIT_WAIT_MS = 2_000;

const NOT_LEADER: Refusal = {
  code: 'not_leader',
  outcome: RunOutcome.unknown,
  detail: 'this node does not lead the zone',
};
