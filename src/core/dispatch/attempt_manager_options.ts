import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {UpstreamClient} from '../upstream/upstream_client.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';

export interface AttemptManagerOptions {
  readonly registry: WorkerRegistry;
  readonly upstream: UpstreamClient;
  /** Called once for each attempt that ends, after its slot is released. */
  readonly onEnded: (attempt: RunningAttempt, outcome: AttemptOutcome) => void;
  /** Called when the set of workers or their capacity changes. */
  readonly onCapacity: () => void;
  /** Called when a worker has accepted a higher epoch than this one's. */
  readonly onSuperseded: (epoch: number) => void;
}
