import type {Clock} from '../clock/clock.js';
import type {JobTable} from '../job/job_table.js';
import type {Replicator} from '../group/replicator.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';
import type {DispatchPolicy} from './dispatch_policy.js';
import type {RetryPolicy} from '../retry/retry_policy.js';
import type {ConfigSource} from '../config/config_source.js';
import type {UpstreamClient} from '../upstream/upstream_client.js';
import type {DispatchObserver} from './dispatch_observer.js';

export interface DispatcherOptions {
  readonly table: JobTable;
  readonly replicator: Replicator;
  readonly registry: WorkerRegistry;
  readonly policy: DispatchPolicy;
  readonly retry: RetryPolicy;
  readonly config: ConfigSource;
  readonly upstream: UpstreamClient;
  /** Default: none. */
  readonly observer?: DispatchObserver | undefined;
  /** Called on the leader when a job's acceptance is committed. */
  readonly onAccepted?: (key: string) => void;
  /** Provides the time of receipt of reports, which carry no timestamp. */
  readonly clock: Pick<Clock, 'now'>;
  /** Called on the leader when a job's final state is committed. */
  readonly onFinished: (key: string) => void;
  /** Called when this node loses leadership. */
  readonly onLeadershipLost?: () => void;
  /** Requests one call of `flush` at the end of the event-loop turn. */
  readonly requestFlush: () => void;
}
