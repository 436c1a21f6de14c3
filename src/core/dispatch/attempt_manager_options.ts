import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {UpstreamClient} from '../upstream/upstream_client.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';

/** What an attempt manager works with. */
export interface AttemptManagerOptions {
  readonly registry: WorkerRegistry;
  readonly upstream: UpstreamClient;
  /** Called once for each attempt that ends, after its slot is free. */
  readonly onEnded: (attempt: RunningAttempt, outcome: AttemptOutcome) => void;
  /** Called when workers or their capacity changed. */
  readonly onCapacity: () => void;
  /** Called when a worker obeys a higher epoch than this dispatcher's. */
  readonly onSuperseded: (epoch: number) => void;
}
