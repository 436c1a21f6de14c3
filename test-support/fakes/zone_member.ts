import type {Clock} from '../../src/core/clock/clock.js';
import type {ConfigSource} from '../../src/core/config/config_source.js';
import {Dispatcher} from '../../src/core/dispatch/dispatcher.js';
import {FifoPolicy} from '../../src/core/dispatch/fifo_policy.js';
import type {Replicator} from '../../src/core/group/replicator.js';
import type {JobTable} from '../../src/core/job/job_table.js';
import type {RetryPolicy} from '../../src/core/retry/retry_policy.js';
import type {UpstreamClient} from '../../src/core/upstream/upstream_client.js';
import type {WorkerRegistry} from '../../src/core/worker/worker_registry.js';

const TICK_MS = 100;

interface ZoneMemberOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly replicator: Replicator;
  readonly table: JobTable;
  readonly registry: WorkerRegistry;
  readonly retry: RetryPolicy;
  readonly config: ConfigSource;
  readonly upstream: UpstreamClient;
  /** Called when the final status of a job is committed on the leader. */
  readonly onFinished: (member: ZoneMember, key: string) => void;
}

/** Member of a zone's group with its dispatcher, on a fake clock. */
export class ZoneMember {
  readonly table: JobTable;
  readonly dispatcher: Dispatcher;
  readonly node: string;
  readonly replicator: Replicator;
  readonly registry: WorkerRegistry;
  isStopped = false;
  private isFlushRequested = false;

  constructor(private readonly opts: ZoneMemberOptions) {
    this.node = opts.node;
    this.replicator = opts.replicator;
    this.registry = opts.registry;
    this.table = opts.table;
    this.dispatcher = new Dispatcher({
      clock: opts.clock,
      table: this.table,
      replicator: opts.replicator,
      registry: opts.registry,
      policy: new FifoPolicy(),
      retry: opts.retry,
      config: opts.config,
      upstream: opts.upstream,
      onFinished: key => opts.onFinished(this, key),
      requestFlush: () => this.requestFlush(),
    });
    this.tick();
  }

  private requestFlush(): void {
    if (this.isFlushRequested || this.isStopped) return;
    this.isFlushRequested = true;
    this.opts.clock.defer(() => {
      this.isFlushRequested = false;
      if (!this.isStopped) this.dispatcher.flush(this.opts.clock.now());
    });
  }

  private tick(): void {
    if (this.isStopped) return;
    this.dispatcher.tick(this.opts.clock.now());
    this.opts.clock.schedule(TICK_MS, () => this.tick());
  }
}
