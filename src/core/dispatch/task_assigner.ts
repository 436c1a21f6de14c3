import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';
import type {ActiveJob} from './active_job.js';
import type {Assignment} from './assignment.js';
import type {DispatchPolicy} from './dispatch_policy.js';
import {Fleet} from './fleet.js';
import type {FleetView} from './fleet_view.js';

interface TaskAssignerOptions {
  readonly registry: WorkerRegistry;
  readonly policy: DispatchPolicy;
}

/** Gives free slots to waiting tasks in the order of the policy. */
export class TaskAssigner {
  private sequence = 0;
  private readonly workers: Fleet;

  constructor(
    private readonly opts: TaskAssignerOptions,
    private readonly active: ReadonlyMap<string, ActiveJob>,
  ) {
    this.workers = new Fleet(opts.registry);
  }

  /** The workers as the policy may use them now. */
  fleet(epoch: number, now: number): FleetView {
    return this.workers.refresh(epoch, now);
  }

  /** Occupies slots and returns the attempts whose intents to propose. */
  assign(epoch: number, now: number): RunningAttempt[] {
    const {policy} = this.opts;
    if (policy.queued === 0) return [];
    const fleet = this.fleet(epoch, now);
    const placed: RunningAttempt[] = [];
    for (;;) {
      const assignment = policy.next(fleet, now);
      if (!assignment) return placed;
      const job = this.active.get(assignment.task.key);
      if (job) placed.push(this.place(job, assignment, epoch, now));
    }
  }

  private place(
    job: ActiveJob,
    {task, worker}: Assignment,
    epoch: number,
    now: number,
  ): RunningAttempt {
    this.sequence += 1;
    const attempt: RunningAttempt = {
      id: `${epoch}.${this.sequence}`,
      key: task.key,
      task: task.index,
      worker: worker.id,
      incarnation: worker.incarnation,
      className: task.className,
      tenant: task.tenant,
      memoryMb: task.memoryMb,
      accelerators: task.accelerators,
      phase: 'proposed',
      since: now,
      stopping: false,
    };
    job.queued.delete(task.index);
    job.attempts.set(attempt.id, attempt);
    worker.occupy(attempt);
    this.opts.policy.started(attempt, now);
    return attempt;
  }
}
