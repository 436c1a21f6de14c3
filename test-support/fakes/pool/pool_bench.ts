import type {PoolAnswer} from '../../../src/core/pool/job/pool_answer.js';
import {FencingToken} from '../../../src/core/pool/lease/fencing_token.js';
import {PoolDispatcher} from '../../../src/core/pool/dispatcher/pool_dispatcher.js';
import type {CapacityLending} from '../../../src/core/pool/lending/capacity_lending.js';
import type {WorkerLoss} from '../../../src/core/pool/crashes/worker_loss.js';
import type {PoolObserver} from '../../../src/core/pool/pool_observer.js';
import type {PoolSubmission} from '../../../src/core/pool/job/pool_submission.js';
import {WorkerRegistry} from '../../../src/core/pool/registry/worker_registry.js';
import type {WorkerClient} from '../../../src/core/pool/lease/worker_client.js';
import {EvacuatedZones} from '../../../src/core/routing/evacuated_zones.js';
import {RoutingTable} from '../../../src/core/routing/routing_table.js';
import {FakeClock} from '../fake_clock.js';
import {FakePoolWorker} from './fake_pool_worker.js';
import {FakeWorkerClient} from './fake_worker_client.js';

const LEASE_MS = 1_000;
const TICK_MS = 20;

interface DispatcherOptions {
  readonly term?: number;
  readonly isRegistryComplete?: boolean;
  /** Default: the lease duration. */
  readonly earlierLeasesMs?: number;
  /** Default: the client of the fake workers. */
  readonly client?: WorkerClient;
  /** Default: capacity is neither borrowed nor lent. */
  readonly lending?: CapacityLending;
}

interface JobEvent {
  readonly event: string;
  readonly job: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Test bench with dispatchers and fake workers, on a fake clock. */
export class PoolBench {
  readonly workers = new Map<string, FakePoolWorker>();
  readonly client: FakeWorkerClient;
  readonly answers = new Map<string, PoolAnswer>();
  readonly answeredAt = new Map<string, number>();
  /** Latest losses of each job, as its entry node would know them. */
  readonly losses = new Map<string, readonly WorkerLoss[]>();
  /** Tasks and the workers that crashed when they started them. */
  readonly crashes: Array<{readonly task: string; readonly worker: string}> =
    [];
  /** Whether a task crashes the worker that starts it. */
  isDeadly: (task: string) => boolean = () => false;
  /** Time after which a crashed worker is back under a new id, in ms. */
  restartMs = 3_000;
  /** Service that the next workers belong to. */
  service = 'svc';
  /** Services that the configuration names. */
  services: readonly string[] = ['svc'];
  /** Whether a majority confirms the leadership of the dispatchers. */
  isConfirmed = true;
  /** Configuration that names the evacuated zones. */
  config: {readonly version: number; readonly evacuated?: readonly string[]} = {
    version: 1,
  };
  /** State changes that dispatchers have recorded. */
  readonly events: string[] = [];
  /** Events of jobs that dispatchers have recorded. */
  readonly jobEvents: JobEvent[] = [];
  readonly observer: PoolObserver = {
    recordJobEvent: (event, job, fields) =>
      this.jobEvents.push({event, job, fields}),
    recordStateChange: event => this.events.push(event),
    recordResponseTime: () => undefined,
    recordPhase: () => undefined,
    incrementCounter: () => undefined,
  };
  readonly evacuated = new EvacuatedZones(() => this.config);
  private readonly registry = new WorkerRegistry(service =>
    this.services.includes(service),
  );
  private reports = 0;

  /** `tasksEach` is the number of tasks that one worker can run at once. */
  constructor(
    workers: number,
    tasksEach = 2,
    readonly clock = new FakeClock(),
  ) {
    this.client = new FakeWorkerClient(clock, this.workers);
    for (let n = 0; n < workers; n += 1) this.addWorker(`w${n}`, tasksEach);
  }

  addWorker(
    id: string,
    tasksEach = 2,
    bornAt = 1,
    address = `${id}:1`,
    zone = 'z',
  ): FakePoolWorker {
    this.reports += 1;
    const cpu = tasksEach * 1_000;
    const report = {
      id,
      bornAt,
      service: this.service,
      address,
      zone,
      isDraining: false,
      capacity: {cpu, memoryMb: 1_000, accelerators: 0},
      labels: [],
      sequence: this.reports,
    };
    const worker = new FakePoolWorker(report, this.clock, LEASE_MS);
    this.workers.set(id, worker);
    this.registry.update(report, this.clock.now());
    worker.onStart = task => {
      if (!this.isDeadly(task)) return;
      this.clock.schedule(1, () => this.crash(id, task));
    };
    return worker;
  }

  /** Crashes a worker; its successor has its address and a new id. */
  crash(id: string, task = ''): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    worker.processDueEnds();
    this.crashes.push({task, worker: id});
    this.workers.delete(id);
    this.client.crashed.add(id);
    const {address, capacity, zone} = worker.report;
    this.clock.schedule(this.restartMs, () => {
      const now = this.clock.now();
      this.addWorker(`${id}+`, capacity.cpu / 1_000, now, address, zone);
    });
  }

  /** Makes a worker send its next report. */
  report(id: string, change: {readonly isDraining?: boolean} = {}): void {
    this.reports += 1;
    const {report} = this.workers.get(id)!;
    const next = {...report, ...change, sequence: this.reports};
    this.registry.update(next, this.clock.now());
  }

  /** Changes the capacity of a worker, which its next report shows. */
  resize(id: string, tasksEach: number): void {
    const worker = this.workers.get(id)!;
    const capacity = {...worker.report.capacity, cpu: tasksEach * 1_000};
    worker.report = {...worker.report, capacity};
  }

  /** Brings a configuration with these evacuated zones into force. */
  evacuate(...zones: string[]): void {
    this.config = {version: this.config.version + 1, evacuated: zones};
  }

  createDispatcher(opts: DispatcherOptions = {}): PoolDispatcher {
    const {term = 1, isRegistryComplete = true} = opts;
    const {earlierLeasesMs = LEASE_MS} = opts;
    const {clock, registry} = this;
    const {client = this.client} = opts;
    const dispatcher = new PoolDispatcher({
      clock,
      client,
      registry,
      lending: opts.lending,
      token: FencingToken.ofTerm(term),
      leaseMs: LEASE_MS,
      isRegistryComplete,
      earlierLeasesMs,
      maySendOrders: () => this.isConfirmed,
      routing: () => PoolBench.table(1, this.services),
      evacuated: this.evacuated,
      answer: (_owner, id, answer) => {
        this.answers.set(id, answer);
        this.answeredAt.set(id, clock.now());
      },
      reportLosses: (_owner, id, losses) => this.losses.set(id, losses),
      observer: this.observer,
    });
    return dispatcher;
  }

  /** Advances the clock and runs pending promises, dispatchers and reports. */
  async run(ms: number, ...dispatchers: PoolDispatcher[]): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
      this.clock.advance(1);
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
      if (passed % TICK_MS === 0) this.tick(...dispatchers);
    }
  }

  /** Delivers a report of each worker and ticks the dispatchers. */
  tick(...dispatchers: PoolDispatcher[]): void {
    for (const id of this.workers.keys()) this.report(id);
    this.evacuated.tick(this.clock.now());
    for (const dispatcher of dispatchers) dispatcher.tick(this.clock.now());
  }

  /** Tasks of which two runs overlapped in time. */
  overlaps(): string[] {
    const all = [...this.workers.values()].flatMap(w => w.history);
    return all
      .filter(a =>
        all.some(
          b => a !== b && a.task === b.task && a.from < b.to && b.from < a.to,
        ),
      )
      .map(a => a.task);
  }

  static submission(
    id: string,
    opts: {
      readonly tasks?: number;
      readonly estimatedMs?: number;
      readonly queue?: string;
      readonly patienceMs?: number;
    } = {},
  ): PoolSubmission {
    const {tasks = 1, estimatedMs = 100, queue = 'a'} = opts;
    const step = {
      count: tasks,
      demand: {cpu: 1_000, memoryMb: 1, accelerators: 0},
      estimatedMs,
      after: [],
    };
    return {
      host: 'h',
      path: `/${queue}/${id}`,
      job: {id, payload: 'p', steps: [step]},
      waitedMs: 0,
      patienceMs: opts.patienceMs ?? 10_000,
    };
  }

  static table(
    revision = 1,
    services: readonly string[] = ['svc'],
  ): RoutingTable {
    const queue = {
      host: 'h',
      service: 'svc',
      targetMs: 60,
      stretch: 1.6,
      priority: 0,
      maxAttempts: 3,
      needsAdvice: false,
    };
    return new RoutingTable({
      revision,
      queues: ['a', 'b', 'c'].map(name => ({
        ...queue,
        name,
        prefix: `/${name}/`,
      })),
      services: services.map(name => ({name, guardsCapacity: true})),
    });
  }
}
