import type {RetryPolicy} from '../../core/retry/retry_policy.js';
import type {WorkerRegistry} from '../../core/worker/worker_registry.js';

/**
 * Mechanisms that are disabled in a run, to test that the checkers detect their
 * absence. Default: none.
 */
export interface Mutation {
  readonly registry?: () => WorkerRegistry;
  readonly retry?: () => RetryPolicy;
  readonly worker?: {
    readonly fences?: boolean;
    readonly keepsTombstones?: boolean;
    readonly obeysLease?: boolean;
  };
  readonly group?: {
    readonly commitsEarly?: boolean;
    readonly hidesMemoryStart?: boolean;
  };
}
