import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolObserver} from '../pool_observer.js';
import type {PoolTask} from '../job/pool_task.js';
import type {Run} from '../lease/run.js';
import {RunEnd} from '../lease/run_end.js';
import type {RunLoss} from '../lease/run_loss.js';
import type {RunRefusal} from '../lease/run_refusal.js';
import type {RunTimes} from '../placement/run_times.js';
import type {WorkerCircuitBreaker} from '../placement/worker_circuit_breaker.js';

/** Ended run of a task, and how it ended. */
interface EndedRun {
  readonly task: PoolTask;
  readonly worker: LeasedWorker;
  readonly run: Run;
  readonly how: RunEnd;
  readonly loss: RunLoss | undefined;
}

/** Records the ends of runs in the statistics, the log and the metrics. */
export class RunRecorder {
  constructor(
    private readonly times: RunTimes,
    private readonly breaker: WorkerCircuitBreaker,
    private readonly observer: PoolObserver,
  ) {}

  recordEnd({task, worker, run, how, loss}: EndedRun, now: number): void {
    const {id} = worker.report;
    const ranMs = now - run.sentAt;
    const {workload} = run;
    const {number, sentAt} = run;
    const cause = loss?.cause;
    if (workload && !run.isAdopted) {
      const ended = {worker: id, task: run.task, workload, ranMs, at: now};
      if (how === RunEnd.done) this.times.record(ended);
      else if (how === RunEnd.stopped) this.times.recordStopped(ended);
    }
    if (how === RunEnd.done) {
      this.breaker.recordEnd(id, false, now);
      if (!run.isTraced && !task.job.isAbandoned) return;
    }
    task.lastRun = {number, worker: id, how, cause, sentAt, endedAt: now};
    const isWorkerFault = how === RunEnd.failed || how === RunEnd.lost;
    if (isWorkerFault) this.breaker.recordEnd(id, true, now);
    this.observer.recordJobEvent('run_ended', task.job.spec.id, {
      task: run.task,
      run: number,
      worker: id,
      how,
      cause,
      refused: loss?.isRefused,
      after_ms: Math.round(ranMs),
      is_adopted: run.isAdopted || undefined,
      is_confirmed: loss && run.confirmedAt !== undefined,
      clock_age_ms: round(loss?.clockAgeMs),
      lease_left_ms: round(loss?.leaseLeftMs),
    });
  }

  recordRefusal(
    task: PoolTask,
    worker: LeasedWorker,
    run: Run,
    reason: RunRefusal,
    now: number,
  ): void {
    const {number, sentAt} = run;
    const {id} = worker.report;
    if (run.isStartReplyLost) {
      // Unlike a refusal in a reply, this is concluded from later replies.
      const past = {number, worker: id, how: reason, cause: undefined};
      task.lastRun = {...past, sentAt, endedAt: now};
    }
    this.observer.recordJobEvent('start_refused', task.job.spec.id, {
      task: run.task,
      run: number,
      worker: id,
      reason,
      is_unanswered: run.isStartReplyLost || undefined,
      after_ms: Math.round(now - sentAt),
    });
  }
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
