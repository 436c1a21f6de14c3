import type {AttemptStart} from './attempt_start.js';
import type {UpstreamListener} from './upstream_listener.js';
import type {WorkerTarget} from './worker_target.js';

/**
 * Sends messages to workers. A message that gets no answer is dropped
 * silently: the dispatcher asks again with `settle`.
 */
export abstract class UpstreamClient {
  protected listener: UpstreamListener | undefined;

  listen(listener: UpstreamListener): void {
    this.listener = listener;
  }

  abstract start(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): void;

  abstract stop(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void;

  /**
   * Asks about attempts and lets the worker forget others. An attempt the
   * worker does not know is `never_started` from then on.
   */
  abstract settle(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void;

  /**
   * Makes the worker obey no lower epoch. `attempts` are those of earlier
   * epochs that the dispatcher counts on the worker.
   */
  abstract fence(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void;
}
