import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {SteppedClock} from '../../core/clock/stepped_clock.js';
import {PoolDispatcher} from '../../core/pool/dispatcher/pool_dispatcher.js';
import type {PoolAnswer} from '../../core/pool/job/pool_answer.js';
import type {PoolSubmission} from '../../core/pool/job/pool_submission.js';
import {WorkerRegistry} from '../../core/pool/registry/worker_registry.js';
import {RoutingTable} from '../../core/routing/routing_table.js';
import type {FleetFault} from './fleet_fault.js';
import type {FleetWorkload} from './fleet_workload.js';
import {SimulatedFleet} from './simulated_fleet.js';

const WARM_UP_MS = 3_000;
const ARRIVALS_MS = 16_000;
const END_MS = 19_000;
const FAULT_FROM_MS = 6_000;
const FAULT_UNTIL_MS = 12_000;
const STEP_MS = 0.5;
const TICK_MS = 20;
/** Turns of the microtask queue in which all promises of a step settle. */
const TURNS = 10;
const PATIENCE_MS = 1_500;
const SWING_MS = 13_000;
const LONG_FACTOR = 7;
/** Share of the jobs with data in a rack. */
const DATA_SHARE = 0.05;
/** Share of the jobs whose tasks need 12 cores in place of 8. */
const WIDE_SHARE = 1 / 6;
const STRETCH = 1.6;
const TARGET_MS = 60;
const HANG_MS = 1e6;
const START = 1_700_000_000_000;
/** Workers for which the rates of the workloads are given. */
const BASE_WORKERS = 245;

interface Job {
  readonly arrivedAt: number;
  /** Run time of the longest task on a worker of normal speed beside its data. */
  readonly runMs: number;
  answeredAt: number;
  kind: PoolAnswer['kind'] | undefined;
}

interface FleetRunOptions {
  readonly workload: FleetWorkload;
  readonly fault: FleetFault;
  readonly seed: number;
  readonly workers: number;
}

/** Counts of one run; shares are of the jobs that arrived after the warm-up. */
interface FleetRunFigures {
  readonly onTime: number;
  /** Of the jobs that arrived during the fault. */
  readonly onTimeInFault: number;
  readonly late: number;
  readonly refused: number;
  readonly wastedSeconds: number;
  readonly stops: number;
}

/** One deterministic run of a dispatcher over a simulated fleet. */
export class FleetRun {
  private readonly clock = new SteppedClock(START);
  private readonly random: SeededRandom;
  /** Apart from the arrivals, so that these do not depend on placement. */
  private readonly outcomes: SeededRandom;
  private readonly jobs = new Map<string, Job>();
  private readonly durations = new Map<string, number>();
  private readonly hanging = new Set<string>();
  private readonly racks = new Map<string, string>();
  private readonly labels = new Map<string, string>();
  private readonly speeds = new Map<string, number>();
  private readonly impaired = new Set<string>();
  private readonly fleet: SimulatedFleet;
  private readonly dispatcher: PoolDispatcher;

  constructor(private readonly opts: FleetRunOptions) {
    const {clock} = this;
    this.random = new SeededRandom(opts.seed);
    this.outcomes = new SeededRandom(opts.seed + 1_000);
    const registry = this.createRegistry();
    this.fleet = new SimulatedFleet(clock, (task, id) =>
      this.outcomeOf(task, id),
    );
    const noop = () => undefined;
    this.dispatcher = new PoolDispatcher({
      clock,
      client: this.fleet,
      registry,
      token: 1_000,
      leaseMs: 600,
      remoteFactor: opts.workload.remoteFactor,
      earlierLeasesMs: 0,
      isRegistryComplete: true,
      maySendOrders: () => true,
      routing: () => TABLE,
      answer: (_owner, id, {kind}) => {
        const job = this.jobs.get(id);
        if (!job || job.kind) return;
        job.kind = kind;
        job.answeredAt = this.elapsedMs;
      },
      reportLosses: noop,
      observer: {
        recordJobEvent: noop,
        recordStateChange: noop,
        recordResponseTime: noop,
        recordPhase: noop,
        incrementCounter: noop,
      },
    });
  }

  async run(): Promise<FleetRunFigures> {
    const {kinds, swing} = this.opts.workload;
    const load = this.opts.workers / BASE_WORKERS;
    const next = kinds.map(() => 100);
    let nextTick = 0;
    while (this.elapsedMs < END_MS) {
      this.clock.advance(STEP_MS);
      for (let turn = 0; turn < TURNS; turn += 1) await Promise.resolve();
      const now = this.elapsedMs;
      if (now >= nextTick) {
        nextTick += TICK_MS;
        this.dispatcher.tick(this.clock.now());
      }
      if (now > ARRIVALS_MS) continue;
      for (const [at, {rate}] of kinds.entries()) {
        while (next[at]! <= now) {
          this.submit(at);
          const phase = Math.sin((2 * Math.PI * now) / SWING_MS);
          const current = rate * load * (1 + swing * phase);
          next[at]! += this.random.exponential(1_000 / current);
        }
      }
    }
    return this.figures();
  }

  private get elapsedMs(): number {
    return this.clock.now() - START;
  }

  private createRegistry(): WorkerRegistry {
    const {workload, fault, workers} = this.opts;
    const {rackSize, speeds} = workload;
    const registry = new WorkerRegistry();
    for (let n = 0; n < workers; n += 1) {
      const id = `w${n}`;
      const rack = Math.floor(n / rackSize);
      this.racks.set(id, `rack-${rack}`);
      this.speeds.set(id, speeds[this.random.integerBelow(speeds.length)]!);
      const racks = Math.ceil(workers / rackSize);
      const isImpaired = fault.byRack
        ? rack < fault.share * racks
        : this.random.next() < fault.share;
      if (isImpaired) this.impaired.add(id);
      const cores = n % 3 === 2 ? 24 : 16;
      const report = {
        id,
        bornAt: 1,
        service: 'svc',
        address: id,
        zone: `z${n % 3}`,
        isDraining: false,
        capacity: {cpu: cores * 1_000, memoryMb: 64_000, accelerators: 0},
        labels: [`rack-${rack}`],
        sequence: 1,
      };
      registry.update(report, START);
    }
    return registry;
  }

  private outcomeOf(task: string, id: string) {
    const {workload, fault} = this.opts;
    const now = this.elapsedMs;
    const isFaulty =
      this.impaired.has(id) && now >= FAULT_FROM_MS && now < FAULT_UNTIL_MS;
    const dataRack = this.labels.get(task.slice(0, task.indexOf('.')));
    const isRemote = dataRack !== undefined && dataRack !== this.racks.get(id);
    // A second run of a task that hung does not hang.
    if (this.hanging.delete(task)) return {runMs: HANG_MS, hasFailed: false};
    const runMs =
      (this.durations.get(task)! / this.speeds.get(id)!) *
      (isRemote ? workload.remoteFactor : 1) *
      (isFaulty ? fault.slowdown : 1);
    const hasFailed = isFaulty && this.outcomes.next() < fault.failureRate;
    return {runMs: hasFailed ? runMs / 2 : runMs, hasFailed};
  }

  private submit(kind: number): void {
    const {workload, fault, workers} = this.opts;
    const {tasks, runMs} = workload.kinds[kind]!;
    const id = `j${this.jobs.size}`;
    let longest = 0;
    for (let n = 0; n < tasks; n += 1) {
      const isLong = this.random.next() < fault.longShare;
      const noise = this.random.floatBetween(0.85, 1.15);
      const taskMs = runMs * noise * (isLong ? LONG_FACTOR : 1);
      const name = `${id}.0.0.${n}`;
      this.durations.set(name, taskMs);
      if (this.random.next() < fault.hangShare) this.hanging.add(name);
      longest = Math.max(longest, taskMs);
    }
    const racks = Math.ceil(workers / workload.rackSize);
    const hasData = this.random.next() < DATA_SHARE;
    const dataRack = `rack-${this.random.integerBelow(racks)}`;
    if (hasData) this.labels.set(id, dataRack);
    const cpu = this.random.next() < WIDE_SHARE ? 12_000 : 8_000;
    const step = {
      count: tasks,
      demand: {cpu, memoryMb: 4_000, accelerators: 0},
      estimatedMs: runMs,
      after: [],
      ...(hasData ? {dataRack} : {}),
    };
    const arrivedAt = this.elapsedMs;
    const job = {arrivedAt, runMs: longest, answeredAt: 0, kind: undefined};
    this.jobs.set(id, job);
    const submission: PoolSubmission = {
      host: 'h',
      path: `/q${kind}/${id}`,
      job: {id, payload: '', steps: [step]},
      waitedMs: 0,
      patienceMs: PATIENCE_MS + longest * STRETCH,
    };
    this.dispatcher.submit('e', submission);
  }

  private figures(): FleetRunFigures {
    const all = [...this.jobs.values()].filter(j => j.arrivedAt >= WARM_UP_MS);
    const inFault = all.filter(
      ({arrivedAt}) => arrivedAt >= FAULT_FROM_MS && arrivedAt < FAULT_UNTIL_MS,
    );
    const isDone = (job: Job) => job.kind === 'completed';
    return {
      onTime: share(all, isOnTime),
      onTimeInFault: share(inFault, isOnTime),
      late: share(all, job => isDone(job) && !isOnTime(job)),
      refused: share(all, job => job.kind === 'refused'),
      wastedSeconds: round(this.fleet.wastedMs / 1_000),
      stops: this.fleet.stops,
    };
  }
}

function isOnTime({kind, answeredAt, arrivedAt, runMs}: Job): boolean {
  if (kind !== 'completed') return false;
  return answeredAt - arrivedAt <= STRETCH * runMs + TARGET_MS;
}

function share(jobs: readonly Job[], has: (job: Job) => boolean): number {
  return round(jobs.filter(has).length / Math.max(1, jobs.length));
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

const TABLE = new RoutingTable({
  revision: 1,
  queues: [0, 1, 2].map(n => ({
    name: `q${n}`,
    host: 'h',
    prefix: `/q${n}/`,
    service: 'svc',
    targetMs: TARGET_MS,
    stretch: STRETCH,
    priority: 0,
    maxAttempts: 3,
    needsAdvice: false,
  })),
  services: [{name: 'svc', guardsCapacity: true}],
});
