import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolObserver} from '../pool_observer.js';
import type {PoolTask} from '../job/pool_task.js';
import type {Run} from '../lease/run.js';
import {RunEnd} from '../lease/run_end.js';
import type {RunLoss} from '../lease/run_loss.js';
import type {RunRefusal} from '../lease/run_refusal.js';
import type {RunTimes} from '../placement/run_times.js';
import type {WorkerHealth} from '../placement/worker_health.js';

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
    private readonly health: WorkerHealth,
    private readonly observer: PoolObserver,
  ) {}

  recordEnd({task, worker, run, how, loss}: EndedRun, now: number): void {
    const {id} = worker.report;
    const ranMs = now - run.sentAt;
    const {workload} = run;
    if (workload && !run.isAdopted) {
      const ended = {worker: id, task: run.task, workload, ranMs, at: now};
      if (how === RunEnd.done) this.times.record(ended);
      else if (how === RunEnd.stopped) this.times.recordStopped(ended);
    }
    if (how === RunEnd.done) {
      this.health.recordEnd(worker.report, false, now);
      return;
    }
    const isWorkerFault = how === RunEnd.failed || how === RunEnd.lost;
    if (isWorkerFault) this.health.recordEnd(worker.report, true, now);
    this.observer.recordJobEvent('run_ended', task.job.spec.id, {
      task: run.task,
      run: run.number,
      worker: id,
      how,
      cause: loss?.cause,
      refused: loss?.isRefused,
      after_ms: Math.round(ranMs),
    });
  }

  recordRefusal(
    task: PoolTask,
    worker: LeasedWorker,
    run: Run,
    reason: RunRefusal,
  ): void {
    this.observer.recordJobEvent('start_refused', task.job.spec.id, {
      task: run.task,
      run: run.number,
      worker: worker.report.id,
      reason,
    });
  }
}
