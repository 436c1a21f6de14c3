import type {RunEnd} from './run_end.js';
import type {RunRefusal} from './run_refusal.js';

interface Target {
  readonly id: string;
  /** Host and port. */
  readonly address: string;
}

interface Order {
  readonly task: string;
  /** Number of the start of the task. */
  readonly run: number;
  readonly token: number;
}

interface StartOrder extends Order {
  readonly payload: string;
  /** End of the lease on the worker's clock, in ms. */
  readonly leaseEnd: number;
}

interface LookOrder {
  readonly token: number;
  /** Ends up to this number may be forgotten. */
  readonly acknowledged: number;
  /** End of the lease on the worker's clock, in ms. */
  readonly leaseEnd?: number | undefined;
  /** How long the worker may wait for an end, in ms. */
  readonly waitMs: number;
}

interface Look {
  /** Time of the worker's clock, in ms. */
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
  /** Whether more ends wait than the worker lists at once. */
  readonly isPartial: boolean;
}

type Reply<T> =
  | ({readonly kind: 'ok'} & T)
  | {readonly kind: 'refused'; readonly reason: RunRefusal}
  /** No answer came; the order may have been carried out or be under way. */
  | {readonly kind: 'lost'; readonly detail: string};

/** Orders to workers that run tasks under leases. */
export abstract class WorkerClient {
  abstract start(
    target: Target,
    order: StartOrder,
    timeoutMs: number,
  ): Promise<Reply<{readonly clockMs: number}>>;

  abstract stop(
    target: Target,
    order: Order,
    timeoutMs: number,
  ): Promise<Reply<{readonly clockMs: number}>>;

  /** Renews the lease and reads what runs and what ended. */
  abstract poll(
    target: Target,
    order: LookOrder,
    timeoutMs: number,
  ): Promise<Reply<{readonly look: Look}>>;

  /** Closes idle connections to an address that is no longer used. */
  abstract release(address: string): void;
}
