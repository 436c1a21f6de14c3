import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {JobSpec} from '../job/job_spec.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {ClassConfig} from '../config/class_config.js';
import type {Admission} from './admission.js';
import type {Assignment} from './assignment.js';
import type {FleetView} from './fleet_view.js';
import type {QueuedTask} from './queued_task.js';

/**
 * Owns the order of the queue and the choice of worker. The dispatcher tells
 * it about every task that joins, starts and ends.
 */
export abstract class DispatchPolicy {
  /** Decides on a new job before anything of it is stored. */
  abstract admit(
    job: JobSpec,
    config: ClassConfig,
    fleet: FleetView,
    now: number,
  ): Admission;

  abstract enqueue(task: QueuedTask, now: number): void;

  /**
   * Notes that a queued task was marked `removed`. It must cost the same
   * whatever the length of the queue, since cancels come in waves.
   */
  abstract discarded(task: QueuedTask): void;

  /** Takes the next task to start out of the queue; undefined if none fits. */
  abstract next(fleet: FleetView, now: number): Assignment | undefined;

  /** Notes that a slot was given to a task. */
  started(_attempt: RunningAttempt, _now: number): void {}

  /** Notes that an attempt released its slot. */
  ended(
    _attempt: RunningAttempt,
    _outcome: AttemptOutcome,
    _now: number,
  ): void {}

  /** Takes a reading of how late the event loop runs, in milliseconds. */
  recordLag(_lagMs: number): void {}

  /** Forgets the queue and what runs; called when the lead changes. */
  abstract reset(): void;

  /** Tasks in the queue, without removed ones. */
  abstract get queued(): number;
}
