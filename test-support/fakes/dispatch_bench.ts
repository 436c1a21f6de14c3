import {v7 as uuidv7} from 'uuid';
import type {ClassConfig} from '../../src/core/config/class_config.js';
import type {ConfigSource} from '../../src/core/config/config_source.js';
import {StaticConfigSource} from '../../src/core/config/static_config_source.js';
import type {DispatchObserver} from '../../src/core/dispatch/dispatch_observer.js';
import type {TenantConfig} from '../../src/core/config/tenant_config.js';
import type {DispatchPolicy} from '../../src/core/dispatch/dispatch_policy.js';
import {Dispatcher} from '../../src/core/dispatch/dispatcher.js';
import {FifoPolicy} from '../../src/core/dispatch/fifo_policy.js';
import {SingleNodeReplicator} from '../../src/core/group/single_node_replicator.js';
import type {JobAnswer} from '../../src/core/job/job_answer.js';
import {JobKey} from '../../src/core/job/job_key.js';
import type {JobSpec} from '../../src/core/job/job_spec.js';
import {JobTable} from '../../src/core/job/job_table.js';
import {RetryPolicy} from '../../src/core/retry/retry_policy.js';
import {WorkerRegistry} from '../../src/core/worker/worker_registry.js';
import {FakeClock} from './fake_clock.js';
import {FakeFleet} from './fake_fleet.js';
import type {FakeWorker} from './fake_worker.js';
import {jobSpecOf} from './job_spec_of.js';

const ANNOUNCE_MS = 500;
const TICK_MS = 100;
const WARM_UP_MS = 3_000;

interface DispatchBenchOptions {
  /** Number of workers of the zone. Default 1. */
  readonly workers?: number;
  /** Number of slots of each worker. Default 8. */
  readonly slots?: number;
  /** Default: one class `default` with a target of 2 s. */
  readonly classes?: readonly ClassConfig[];
  /** Default: none. */
  readonly tenants?: readonly TenantConfig[];
  /** Default: first come, first served. */
  readonly policy?: (config: ConfigSource) => DispatchPolicy;
  /** Number of workers per rack. Default: all workers in one rack. */
  readonly rackSize?: number;
  /** One-way delay of a message to a worker. Default 0.5 ms. */
  readonly delayMs?: number;
  /** Creates the client that reaches workers. Default: a {@link FakeFleet}. */
  readonly fleet?: (clock: FakeClock) => FakeFleet;
  /** Default: none. */
  readonly observer?: DispatchObserver;
}

/** A leading dispatcher with fake workers on a fake clock. */
export class DispatchBench {
  readonly clock = new FakeClock();
  readonly fleet: FakeFleet;
  readonly registry = new WorkerRegistry();
  readonly table = new JobTable();
  readonly config: StaticConfigSource;
  readonly replicator = new SingleNodeReplicator('n1');
  readonly dispatcher: Dispatcher;
  /** Jobs in the order in which they ended; `at` is in epoch ms. */
  readonly finished: Array<{readonly key: string; readonly at: number}> = [];
  private isFlushRequested = false;
  private keys = 0;

  constructor(opts: DispatchBenchOptions = {}) {
    const {clock} = this;
    this.fleet =
      opts.fleet?.(clock) ?? new FakeFleet({clock, delayMs: opts.delayMs});
    const classes = opts.classes ?? [DispatchBench.classOf('default')];
    this.config = new StaticConfigSource({
      version: 1,
      classes: Object.fromEntries(classes.map(c => [c.name, c])),
      tenants: Object.fromEntries((opts.tenants ?? []).map(t => [t.name, t])),
    });
    this.dispatcher = new Dispatcher({
      table: this.table,
      replicator: this.replicator,
      registry: this.registry,
      policy: opts.policy?.(this.config) ?? new FifoPolicy(),
      retry: new RetryPolicy(),
      config: this.config,
      upstream: this.fleet,
      observer: opts.observer,
      clock,
      onFinished: key => this.finished.push({key, at: this.clock.now()}),
      requestFlush: () => this.requestFlush(),
    });
    for (let n = 1; n <= (opts.workers ?? 1); n += 1) {
      const rack = Math.ceil(n / (opts.rackSize ?? Infinity)) || 1;
      this.addWorker(`w${n}`, opts.slots ?? 8, `rack-${rack}`);
    }
    this.replicator.lead(this.clock.now());
    this.scheduleAnnouncements();
    this.scheduleTicks();
    this.clock.advance(WARM_UP_MS);
  }

  static classOf(
    name: string,
    overrides: Partial<ClassConfig> = {},
  ): ClassConfig {
    return {
      name,
      target_ms: 2_000,
      percentile: 99,
      repeatable: false,
      memory_mb: 0,
      accelerators: 0,
      ...overrides,
    };
  }

  addWorker(worker: string, slots: number, rack = 'rack-1'): FakeWorker {
    return this.fleet.add({
      worker,
      incarnation: `${worker}-1`,
      sequence: 0,
      zone: 'arbat',
      rack,
      address: `http://127.0.0.1/${worker}`,
      slots,
      connections: 64,
      processors: 32,
      memory_mb: 128_000,
      accelerators: 0,
      classes: [],
      leaving: false,
      epoch: 0,
    });
  }

  worker(id: string): FakeWorker {
    return this.fleet.workers.get(id)!;
  }

  newKey(): JobKey {
    this.keys += 1;
    const random = Uint8Array.from({length: 16}, (_, at) =>
      at >= 12 ? (this.keys >>> (8 * (at - 12))) & 0xff : 1,
    );
    const uuid = uuidv7({msecs: Math.floor(this.clock.now()), random});
    return JobKey.parse(`arbat~${uuid}`).unwrapOrElse(err => {
      throw new Error(err);
    });
  }

  /** Creates a job whose tasks run for the given times, in ms. */
  spec(
    key: JobKey,
    taskMs: readonly number[],
    overrides: Partial<JobSpec> = {},
  ): JobSpec {
    return jobSpecOf(key, taskMs, this.clock.now(), overrides);
  }

  /** Submits a job under a new key; throws if it is refused. */
  submit(taskMs: readonly number[], overrides: Partial<JobSpec> = {}): JobKey {
    const key = this.newKey();
    const spec = this.spec(key, taskMs, overrides);
    const accepted = this.dispatcher.submit(key, spec, this.clock.now());
    if (accepted.isErr) throw new Error(accepted.error.detail);
    return key;
  }

  answer(key: JobKey): JobAnswer | undefined {
    const record = this.table.get(key.text);
    return record && this.table.answer(record);
  }

  /** Starts received by all workers, in no particular order. */
  starts(): Array<{readonly key: string; readonly task: number}> {
    return [...this.fleet.workers.values()].flatMap(worker =>
      worker.starts.map(({start}) => ({key: start.key, task: start.task})),
    );
  }

  private requestFlush(): void {
    if (this.isFlushRequested) return;
    this.isFlushRequested = true;
    this.clock.defer(() => {
      this.isFlushRequested = false;
      this.dispatcher.flush(this.clock.now());
    });
  }

  private scheduleAnnouncements(): void {
    for (const worker of this.fleet.workers.values()) {
      if (worker.isDead || worker.isCut) continue;
      const announcement = worker.nextAnnouncement();
      this.dispatcher.announce(announcement, this.clock.now());
    }
    this.clock.schedule(ANNOUNCE_MS, () => this.scheduleAnnouncements());
  }

  private scheduleTicks(): void {
    this.dispatcher.tick(this.clock.now());
    this.clock.schedule(TICK_MS, () => this.scheduleTicks());
  }
}
