import {PoolBench} from '../../../test-support/fakes/pool/pool_bench.js';
import {SteppedClock} from '../../core/clock/stepped_clock.js';
import {PoolDispatcher} from '../../core/pool/dispatcher/pool_dispatcher.js';
import type {PoolAnswer} from '../../core/pool/job/pool_answer.js';
import type {PoolSubmission} from '../../core/pool/job/pool_submission.js';
import {FencingToken} from '../../core/pool/lease/fencing_token.js';
import {CapacityLending} from '../../core/pool/lending/capacity_lending.js';
import {RoomOffers} from '../../core/pool/lending/room_offers.js';
import {WorkerRegistry} from '../../core/pool/registry/worker_registry.js';
import {SimulatedFleet} from './simulated_fleet.js';
import type {ZoneJob} from './zone_job.js';
import type {ZoneWorkload} from './zone_workload.js';

const STEP_MS = 0.5;
const TICK_MS = 20;
const REPORT_MS = 500;
const OFFER_MS = 200;
const LEASE_MS = 600;
/** One-way delay within a zone and to a caller, in ms. */
const LOCAL_DELAY_MS = 0.1;
const CALLER_DELAY_MS = 1;
/** Callers wait this long for an answer. */
const PATIENCE_MS = 1_500;
/** Every third worker has 24 cores. */
const CORES = [16, 16, 24];
const MEMORY_MB = 64_000;
/** Microtasks between a message and the last of its consequences. */
const TURNS = 8;

/** How the zones are dispatched. */
type Layout = 'one leader' | 'per zone' | 'per zone, lending';

interface Outcome {
  readonly job: ZoneJob;
  readonly kind: PoolAnswer['kind'] | 'unanswered';
  /** Time from the caller's request to the answer, in ms. */
  readonly tookMs: number;
}

interface Pool {
  readonly zone: number;
  readonly registry: WorkerRegistry;
  readonly offers: RoomOffers;
  readonly dispatcher: PoolDispatcher;
  isEmpty: boolean;
}

/** Dispatchers of the zones of a workload, over simulated workers. */
export class ZonePools {
  readonly fleet: SimulatedFleet;
  moves = 0;
  lentRefusals = 0;
  private readonly clock = new SteppedClock();
  private readonly startedAt = this.clock.now();
  private readonly pools: Pool[];
  private readonly jobs = new Map<string, ZoneJob>();
  private readonly outcomes = new Map<string, Outcome>();
  private readonly workers = new Map<
    string,
    {readonly zone: number; readonly speed: number; readonly rack: string}
  >();
  private sequence = 0;

  constructor(
    private readonly workload: ZoneWorkload,
    private readonly layout: Layout,
  ) {
    const {clock} = this;
    this.fleet = new SimulatedFleet({
      clock,
      runMsOf: (task, worker) => this.runMsOf(task, worker),
      delayMsOf: worker => this.workerDelayMs(worker),
    });
    const registries = this.createRegistries();
    this.pools = registries.map((registry, zone) =>
      this.createPool(zone, registry),
    );
  }

  /** Runs the jobs, in order of arrival; returns what became of them. */
  async run(jobs: readonly ZoneJob[], toMs: number): Promise<Outcome[]> {
    let next = 0;
    const steps = Math.ceil(toMs / STEP_MS);
    for (let step = 0; step <= steps; step += 1) {
      const at = step * STEP_MS;
      for (; next < jobs.length && jobs[next]!.atMs <= at; next += 1) {
        this.submit(jobs[next]!);
      }
      if (at % REPORT_MS === 0) this.report();
      if (at % TICK_MS === 0) {
        const now = this.clock.now();
        for (const {dispatcher} of this.pools) dispatcher.tick(now);
      }
      if (this.layout === 'per zone, lending') this.sendDueOffers(at);
      this.clock.advance(STEP_MS);
      for (let turn = 0; turn < TURNS; turn += 1) await Promise.resolve();
    }
    return jobs.map(
      job =>
        this.outcomes.get(job.id) ?? {job, kind: 'unanswered', tookMs: toMs},
    );
  }

  private createRegistries(): WorkerRegistry[] {
    const {zones, workers, rackSize, speeds} = this.workload;
    const count = this.layout === 'one leader' ? 1 : zones;
    const registries = Array.from({length: count}, () => new WorkerRegistry());
    for (let n = 0; n < workers; n += 1) {
      const zone = n % zones;
      const at = Math.floor(n / zones);
      const rack = `rack${zone}-${Math.floor(at / rackSize)}`;
      const id = `w${n}`;
      this.workers.set(id, {zone, speed: speeds[at % speeds.length]!, rack});
      registries[zone % count]!.update(
        {
          id,
          bornAt: 1,
          service: 'svc',
          address: `${id}:1`,
          zone: `z${zone}`,
          isDraining: false,
          capacity: {
            cpu: 1_000 * CORES[at % CORES.length]!,
            memoryMb: MEMORY_MB,
            accelerators: 0,
          },
          labels: [rack],
          sequence: 0,
        },
        this.clock.now(),
      );
    }
    return registries;
  }

  private createPool(zone: number, registry: WorkerRegistry): Pool {
    const {clock, fleet, layout, workload} = this;
    const offers = new RoomOffers();
    const observer = {
      recordJobEvent: () => undefined,
      recordStateChange: () => undefined,
      recordResponseTime: () => undefined,
      recordPhase: () => undefined,
      incrementCounter: (counter: string) => {
        if (counter === 'jobs_lent_out') this.moves += 1;
        if (counter === 'lent_refused') this.lentRefusals += 1;
      },
    };
    const {remoteFactor, zoneDelayMs} = workload;
    const lending = new CapacityLending({
      offers,
      remoteFactor,
      observer,
      redirect: (_owner, id, to) => {
        const delayMs = LOCAL_DELAY_MS + zoneDelayMs;
        clock.schedule(delayMs, () => {
          this.pools[Number(to.node)]!.dispatcher.submit(
            'e',
            this.submissionOf(this.jobs.get(id)!, true),
          );
        });
      },
    });
    const dispatcher = new PoolDispatcher({
      clock,
      client: fleet,
      registry,
      token: FencingToken.ofTerm(1) + zone,
      leaseMs: LEASE_MS,
      isRegistryComplete: true,
      earlierLeasesMs: 0,
      maySendOrders: () => true,
      routing: () => TABLE,
      lending: layout === 'per zone, lending' ? lending : undefined,
      answer: (_owner, id, answer) => this.onAnswer(zone, id, answer),
      reportLosses: () => undefined,
      observer,
    });
    return {zone, registry, offers, dispatcher, isEmpty: true};
  }

  private submit(job: ZoneJob): void {
    this.jobs.set(job.id, job);
    const pool = this.poolOf(job.zone);
    const delayMs = CALLER_DELAY_MS + this.hopMs(job.zone, pool.zone);
    this.clock.schedule(delayMs, () =>
      pool.dispatcher.submit('e', this.submissionOf(job, false)),
    );
  }

  private submissionOf(job: ZoneJob, isLent: boolean): PoolSubmission {
    const {id, queue, runMs, taskMs, cpu, dataRack, atMs} = job;
    const waitedMs = this.clock.now() - this.startedAt - atMs;
    const step = {
      count: runMs.length,
      demand: {cpu, memoryMb: 1_000, accelerators: 0},
      estimatedMs: taskMs,
      after: [],
      dataRack,
    };
    return {
      host: 'h',
      path: `/${queue}/${id}`,
      job: {id, payload: 'p', steps: [step]},
      waitedMs,
      patienceMs: PATIENCE_MS - waitedMs,
      isLent,
    };
  }

  private onAnswer(zone: number, id: string, {kind}: PoolAnswer): void {
    const job = this.jobs.get(id)!;
    const backMs = CALLER_DELAY_MS + this.hopMs(job.zone, zone);
    const tookMs = this.clock.now() - this.startedAt - job.atMs + backMs;
    this.outcomes.set(id, {job, kind, tookMs});
  }

  /** Sends offers every 200 ms, and at once those that have become empty. */
  private sendDueOffers(at: number): void {
    const isDue = at % OFFER_MS === 0;
    if (!isDue && at % TICK_MS !== 0) return;
    const now = this.clock.now();
    for (const pool of this.pools) {
      const room = pool.dispatcher.room(now);
      const hasBecomeEmpty = room.cpu === 0 && !pool.isEmpty;
      if (!isDue && !hasBecomeEmpty) continue;
      pool.isEmpty = room.cpu === 0;
      const {zone, dispatcher} = pool;
      const pathMs = this.workload.zoneDelayMs;
      for (const {zone: other, offers} of this.pools) {
        if (other === zone) continue;
        this.clock.schedule(pathMs, () =>
          offers.record({
            node: `${zone}`,
            zone: `z${zone}`,
            token: dispatcher.token,
            room,
            pathMs,
            heardAt: this.clock.now(),
          }),
        );
      }
    }
  }

  private report(): void {
    this.sequence += 1;
    const now = this.clock.now();
    for (const {registry} of this.pools) {
      for (const report of registry.reports) {
        registry.update({...report, sequence: this.sequence}, now);
      }
    }
  }

  private runMsOf(task: string, id: string): number {
    const [jobId, , , index] = task.split('.');
    const {runMs, dataRack} = this.jobs.get(jobId!)!;
    const {speed, rack} = this.workers.get(id)!;
    const isRemote = dataRack !== undefined && dataRack !== rack;
    const factor = isRemote ? this.workload.remoteFactor : 1;
    return (runMs[Number(index)]! * factor) / speed;
  }

  private poolOf(zone: number): Pool {
    return this.pools[this.dispatcherOf(zone)]!;
  }

  /** Zone of the dispatcher that serves a zone. */
  private dispatcherOf(zone: number): number {
    return this.layout === 'one leader' ? 0 : zone;
  }

  private workerDelayMs(worker: string): number {
    const {zone} = this.workers.get(worker)!;
    return this.hopMs(this.dispatcherOf(zone), zone);
  }

  private hopMs(from: number, to: number): number {
    return from === to ? LOCAL_DELAY_MS : this.workload.zoneDelayMs;
  }
}

const TABLE = PoolBench.table();
