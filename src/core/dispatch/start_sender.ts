import type {JobSpec} from '../job/job_spec.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';
import type {AttemptManager} from './attempt_manager.js';
import {toAttemptStart} from './to_attempt_start.js';

interface PendingStart {
  readonly attempt: RunningAttempt;
  readonly spec: JobSpec;
}

/** Batches the starts of one batch of commits into one message per worker. */
export class StartSender {
  private readonly pending = new Map<string, PendingStart[]>();

  constructor(
    private readonly registry: WorkerRegistry,
    private readonly attempts: AttemptManager,
  ) {}

  /** Adds an attempt whose intent is committed. */
  add(attempt: RunningAttempt, spec: JobSpec): void {
    const batch = this.pending.get(attempt.worker);
    if (batch) batch.push({attempt, spec});
    else this.pending.set(attempt.worker, [{attempt, spec}]);
  }

  /** Sends the collected starts; discards them if this node does not lead. */
  send(epoch: number | undefined, now: number): void {
    for (const [worker, batch] of this.pending) {
      if (epoch !== undefined) this.sendTo(worker, batch, epoch, now);
    }
    this.pending.clear();
  }

  private sendTo(
    id: string,
    batch: readonly PendingStart[],
    epoch: number,
    now: number,
  ): void {
    const worker = this.registry.get(id);
    if (!worker) return;
    // The worker may have become ineligible while the commit was pending.
    if (!this.registry.isStartable(worker, epoch, now)) {
      for (const {attempt} of batch) {
        this.attempts.withdraw(attempt, 'the worker stopped accepting starts');
      }
      return;
    }
    const starts = batch.map(({attempt, spec}) =>
      toAttemptStart(attempt, spec),
    );
    const attempts = batch.map(({attempt}) => attempt);
    this.attempts.start(worker, attempts, starts, now);
  }
}
