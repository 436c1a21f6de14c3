import {v7 as uuidv7} from 'uuid';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import type {ConfigSource} from '../../core/config/config_source.js';
import {StaticConfigSource} from '../../core/config/static_config_source.js';
import type {DispatchPolicy} from '../../core/dispatch/dispatch_policy.js';
import {Dispatcher} from '../../core/dispatch/dispatcher.js';
import {SingleNodeReplicator} from '../../core/group/single_node_replicator.js';
import {JobKey} from '../../core/job/job_key.js';
import {JobTable} from '../../core/job/job_table.js';
import {RetryPolicy} from '../../core/retry/retry_policy.js';
import {WorkerRegistry} from '../../core/worker/worker_registry.js';
import {ManualUpstreamClient} from './manual_upstream_client.js';

interface CoreBenchOptions {
  readonly workers: number;
  readonly classes: number;
  readonly tenants: number;
  readonly policy: (config: ConfigSource) => DispatchPolicy;
}

const START_MS = 1_700_000_000_000;
const SKEW_MS = 2_000;
const SLOTS = 8;
/** High enough that no job is refused. */
const TARGET_MS = 600_000;

/** Decision core without timers or fakes that would add CPU time. */
export class CoreBench {
  readonly upstream = new ManualUpstreamClient();
  readonly registry = new WorkerRegistry();
  readonly table = new JobTable();
  readonly dispatcher: Dispatcher;
  readonly slots: number;
  private now = START_MS;
  private jobs = 0;
  private sequence = 0;

  constructor(private readonly opts: CoreBenchOptions) {
    const classes = Array.from({length: opts.classes}, (_, at) =>
      DispatchBench.classOf(`c${at}`, {target_ms: TARGET_MS}),
    );
    const config = new StaticConfigSource({
      version: 1,
      classes: Object.fromEntries(classes.map(c => [c.name, c])),
      tenants: {},
    });
    const replicator = new SingleNodeReplicator('n1');
    this.dispatcher = new Dispatcher({
      table: this.table,
      replicator,
      registry: this.registry,
      policy: opts.policy(config),
      retry: new RetryPolicy(),
      config,
      upstream: this.upstream,
      clock: {now: () => this.now},
      onFinished: () => undefined,
      requestFlush: () => undefined,
    });
    this.slots = opts.workers * SLOTS;
    replicator.lead(this.now);
    this.now += SKEW_MS + 1;
    this.announceAll();
  }

  /**
   * Delivers one announcement of each worker; in production, each sends two a
   * second.
   */
  announceAll(): void {
    this.sequence += 1;
    for (let n = 1; n <= this.opts.workers; n += 1) {
      this.dispatcher.announce(announcement(n, this.sequence), this.now);
    }
  }

  advanceClock(ms: number): void {
    this.now += ms;
  }

  tick(): void {
    this.dispatcher.tick(this.now);
  }

  /** Submits a job. Classes and tenants are assigned round-robin. */
  submit(tasks: number): void {
    this.jobs += 1;
    const {classes, tenants} = this.opts;
    const key = JobKey.parse(uuidv7({msecs: this.now})).unwrapOrElse(err => {
      throw new Error(err);
    });
    const admission = this.dispatcher.submit(
      key,
      {
        key: key.text,
        keyTimeMs: key.timeMs,
        className: `c${this.jobs % classes}`,
        tenant: `t${this.jobs % tenants}`,
        repeatable: true,
        tasks: Array.from({length: tasks}, () => ({payload: {ms: 1}})),
        fingerprint: '',
        submittedAt: this.now,
      },
      this.now,
    );
    if (admission.isErr) throw new Error(admission.error.detail);
  }

  flush(): void {
    this.dispatcher.flush(this.now);
  }
}

function announcement(n: number, sequence: number) {
  const worker = `w${n}`;
  return {
    worker,
    incarnation: `${worker}-1`,
    sequence,
    zone: 'arbat',
    rack: `rack-${Math.ceil(n / 8)}`,
    address: `http://127.0.0.1/${worker}`,
    slots: SLOTS,
    connections: 64,
    processors: 32,
    memory_mb: 128_000,
    accelerators: 0,
    classes: [],
    leaving: false,
    epoch: 0,
  };
}
