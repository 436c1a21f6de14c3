import type {AttemptStart} from './attempt_start.js';
import type {UpstreamListener} from './upstream_listener.js';
import type {WorkerTarget} from './worker_target.js';

/**
 * Sends messages to workers and passes their replies to the listener. A message
 * without a reply is not reported; the dispatcher polls with `settle` instead.
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
   * Queries the state of `attempts` and allows the worker to drop its records
   * of `forget`. An attempt that the worker does not know is reported as
   * `never_started` and can no longer start.
   */
  abstract settle(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void;

  /**
   * Makes the worker refuse messages of lower epochs. `attempts` are those of
   * earlier epochs that may still hold slots of the worker.
   */
  abstract fence(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void;
}
