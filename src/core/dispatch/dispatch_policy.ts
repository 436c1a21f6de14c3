import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {JobSpec} from '../job/job_spec.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {ClassConfig} from '../config/class_config.js';
import type {Admission} from './admission.js';
import type {Assignment} from './assignment.js';
import type {FleetView} from './fleet_view.js';
import type {QueuedTask} from './queued_task.js';

/**
 * Orders the queue and selects workers. The dispatcher notifies it of each task
 * that is queued, removed, started or ended.
 */
export abstract class DispatchPolicy {
  /** Decides whether to queue a new job, before the job is stored. */
  abstract admit(
    job: JobSpec,
    config: ClassConfig,
    fleet: FleetView,
    now: number,
  ): Admission;

  abstract enqueue(task: QueuedTask, now: number): void;

  /**
   * Called after a queued task was marked as `removed`. Must take constant time
   * whatever the length of the queue, because cancellations come in bursts.
   */
  abstract removed(task: QueuedTask): void;

  /** Dequeues the next task to start; undefined if no task can start now. */
  abstract next(fleet: FleetView, now: number): Assignment | undefined;

  /** Called when an attempt occupies a slot. */
  started(_attempt: RunningAttempt, _now: number): void {}

  /** Called when an attempt has released its slot. */
  ended(
    _attempt: RunningAttempt,
    _outcome: AttemptOutcome,
    _now: number,
  ): void {}

  /** Forgets the estimates of a worker, which may be cold after a pause. */
  forgetWorker(_worker: string): void {}

  /** Records a measurement of the event-loop lag, in ms. */
  recordLag(_lagMs: number): void {}

  /** Clears the queue and slot usage; called when leadership changes. */
  abstract reset(): void;

  /** Number of queued tasks, without removed ones. */
  abstract get queued(): number;
}
