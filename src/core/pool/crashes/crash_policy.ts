import type {WorkerLoss} from './worker_loss.js';

/** A task under which this many workers have crashed is not started again. */
const MAX_CRASHES = 2;
/**
 * A task under which this many workers were lost waits until it is known which
 * of them have crashed: silence alone does not show it.
 */
const MAX_LOSSES = 4;

/** What follows from the workers that were lost under a task. */
export const CrashPolicy = {
  /** Whether the task is kept away from other tasks that may crash workers. */
  isSuspect: (losses: readonly WorkerLoss[]): boolean =>
    losses.some(isCrashUnderTask),

  /** Whether the task, and with it its job, is given up. */
  isFatal: (losses: readonly WorkerLoss[]): boolean =>
    losses.filter(isCrashUnderTask).length >= MAX_CRASHES,

  mayStart: (losses: readonly WorkerLoss[]): boolean =>
    losses.length < MAX_LOSSES && !CrashPolicy.isFatal(losses),
};

function isCrashUnderTask({hasStarted, isCrashed}: WorkerLoss): boolean {
  return hasStarted && isCrashed;
}
