import type {RetryPolicy} from '../../core/retry/retry_policy.js';
import type {WorkerRegistry} from '../../core/worker/worker_registry.js';

/**
 * Mechanisms to switch off in a run, so that tests can show that the checkers
 * notice their absence. Default: none.
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
