import type {RunEnd} from './run_end.js';
import type {RunRefusal} from './run_refusal.js';

interface Target {
  readonly id: string;
  /** Host and port. */
  readonly address: string;
  /**
   * Start time of the process instance for which the order was decided; undefined
   * for a poll that any instance may answer.
   */
  readonly bornAt?: number | undefined;
}

interface RunOrder {
  readonly task: string;
  /** Number of this run among the runs of the task. */
  readonly run: number;
  readonly token: number;
}

interface StartOrder extends RunOrder {
  readonly payload: string;
  /** End of the lease on the worker's clock, in ms. */
  readonly leaseEnd: number;
}

interface PollOrder {
  readonly token: number;
  /** Number of the last run end received; the worker may discard up to it. */
  readonly acknowledged: number;
  /** End of the lease on the worker's clock, in ms. */
  readonly leaseEnd?: number | undefined;
  /** How long the worker may delay its reply until a run ends, in ms. */
  readonly waitMs: number;
}

interface WorkerStatus {
  /** Time on the worker's clock, in ms. */
  readonly clockMs: number;
  readonly bornAt: number | undefined;
  readonly running: ReadonlyArray<{
    readonly task: string;
    readonly run: number;
  }>;
  readonly ended: ReadonlyArray<{
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly how: RunEnd;
  }>;
  /** Whether the worker has more ended runs than it lists at once. */
  readonly isPartial: boolean;
}

type Reply<T> =
  | ({readonly kind: 'ok'} & T)
  | {readonly kind: 'refused'; readonly reason: RunRefusal}
  /** No reply was received; the worker may have executed the order or may yet. */
  | {
      readonly kind: 'lost';
      readonly detail: string;
      /** Whether no process listened at the worker's address. */
      readonly isRefused?: boolean | undefined;
    };

/**
 * Orders to workers that run tasks under leases. A dispatcher does not wait for
 * its calls, so they must not reject: `FailsafeWorkerClient` ensures that.
 */
export abstract class WorkerClient {
  abstract start(
    target: Target,
    order: StartOrder,
    timeoutMs: number,
  ): Promise<Reply<{readonly clockMs: number}>>;

  abstract stop(
    target: Target,
    order: RunOrder,
    timeoutMs: number,
  ): Promise<Reply<{readonly clockMs: number}>>;

  /** Renews the lease and returns the active and the ended runs. */
  abstract poll(
    target: Target,
    order: PollOrder,
    timeoutMs: number,
  ): Promise<Reply<{readonly look: WorkerStatus}>>;

  /** Closes idle connections to an address that is no longer used. */
  abstract release(address: string): void;
}
