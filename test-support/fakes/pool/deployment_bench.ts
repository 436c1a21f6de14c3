import {EntryGateway} from '../../../src/core/pool/entry/entry_gateway.js';
import {EntryPresence} from '../../../src/core/pool/entry/entry_presence.js';
import {FallbackService} from '../../../src/core/pool/entry/fallback_service.js';
import {ReliefService} from '../../../src/core/pool/pressure/relief_service.js';
import {ZonePeers} from '../../../src/core/pool/entry/zone_peers.js';
import {LeaderService} from '../../../src/core/pool/node/leader_service.js';
import {NodeDirectory} from '../../../src/core/pool/node/node_directory.js';
import {EvacuatedZones} from '../../../src/core/routing/evacuated_zones.js';
import {FakeClock} from '../fake_clock.js';
import {DeploymentLog} from './deployment_log.js';
import {FakeElection} from './fake_election.js';
import {FakePoolWorker} from './fake_pool_worker.js';
import {FakeWorkerClient} from './fake_worker_client.js';
import {PoolBench} from './pool_bench.js';
import {PoolNetwork} from './pool_network.js';
import {SuspendableClock} from './suspendable_clock.js';

const LEASE_MS = 600;
const TICK_MS = {core: 20, entry: 50};
const REPORT_MS = 1_500;

interface Entry {
  readonly clock: SuspendableClock;
  readonly gateway: EntryGateway;
  readonly presence: EntryPresence;
  readonly fallback: FallbackService;
}

interface Core {
  readonly clock: SuspendableClock;
  readonly service: LeaderService;
}

type Fields = Record<string, unknown>;

interface BenchOptions {
  readonly zones?: readonly string[];
  readonly coresPerZone?: number;
  readonly entriesPerZone?: number;
  readonly workersPerZone?: number;
}

/**
 * A deployment of core nodes, entry nodes and workers in several zones on one
 * fake clock, whose nodes can be stopped, suspended and cut off. Node `xc1` is the
 * first core node of zone `x`, `xe1` its first entry node and `xw1` a worker.
 */
export class DeploymentBench {
  readonly clock = new FakeClock();
  readonly network = new PoolNetwork();
  readonly election: FakeElection;
  readonly cores = new Map<string, Core>();
  readonly entries = new Map<string, Entry>();
  readonly workers = new Map<string, FakePoolWorker>();
  readonly log = new DeploymentLog(this.workers);
  /** Run time of every task, in ms. */
  runMs = 100;
  /** Configuration in force everywhere, with the evacuated zones. */
  config: {version: number; evacuated: string[]} = {version: 1, evacuated: []};
  private readonly zoneOf = new Map<string, string>();
  /** Ids of all core nodes. */
  readonly seeds: string[] = [];
  private readonly cut = new Set<string>();
  private readonly closed = new Set<string>();
  private sequence = 0;
  private readonly startedAt = this.clock.now();
  private workerNumber = 0;

  constructor(opts: BenchOptions = {}) {
    const {zones = ['x', 'y', 'z'], coresPerZone = 2} = opts;
    const {entriesPerZone = 2, workersPerZone = 50} = opts;
    this.network.isConnected = (a, b) => !this.isCut(a, b);
    this.election = new FakeElection(this.clock, () => this.votes());
    for (const zone of zones) {
      for (let n = 1; n <= coresPerZone; n += 1) {
        this.seeds.push(`${zone}c${n}`);
      }
    }
    for (const id of this.seeds) this.startCore(id);
    for (const zone of zones) {
      for (let n = 1; n <= entriesPerZone; n += 1) this.addEntry(zone, n);
      for (let n = 1; n <= workersPerZone; n += 1) this.addWorker(zone, n);
    }
  }

  /** Time since the start, in ms. */
  get now(): number {
    return this.clock.now() - this.startedAt;
  }

  get leader(): string | undefined {
    return this.election.leader;
  }

  /** Holders of the zones, as the core nodes know of themselves. */
  holders(): Record<string, string[]> {
    const found: Record<string, string[]> = {};
    for (const [id, {service}] of this.cores) {
      if (service.zoneToken === 0) continue;
      (found[this.zoneOf.get(id)!] ??= []).push(id);
    }
    return found;
  }

  fallbacks(): string[] {
    return [...this.entries]
      .filter(([, {fallback}]) => fallback.isDispatching)
      .map(([id]) => id);
  }

  /** Ids of nodes and workers in a zone. */
  inZone(zone: string): string[] {
    return [...this.zoneOf].filter(([, z]) => z === zone).map(([id]) => id);
  }

  outsideOf(zone: string): string[] {
    return [...this.zoneOf].filter(([, z]) => z !== zone).map(([id]) => id);
  }

  /** Cuts all links between two groups of nodes and workers. */
  isolate(group: readonly string[], others: readonly string[]): void {
    for (const a of group) {
      for (const b of others) {
        this.cut.add(`${a} ${b}`);
        this.cut.add(`${b} ${a}`);
      }
    }
  }

  /** Cuts the link from one node to another, in this direction only. */
  cutFrom(from: string, to: string): void {
    this.cut.add(`${from} ${to}`);
  }

  heal(): void {
    this.cut.clear();
  }

  suspend(id: string): void {
    this.clockOf(id).isSuspended = true;
  }

  resume(id: string): void {
    this.clockOf(id).resume();
  }

  /** Ends a process without notice. */
  kill(id: string): void {
    this.clockOf(id).isSuspended = true;
    this.network.disconnect(id);
    this.election.forget(id);
    this.cores.delete(id);
    this.entries.delete(id);
  }

  /** Begins a planned stop of a core node, as its process does on SIGTERM. */
  announceDrain(id: string): void {
    this.cores.get(id)!.service.announceDrain();
    if (this.leader === id) this.election.transfer();
  }

  /** Stops dispatching on a core node; it relays on until it is killed. */
  close(id: string): void {
    const {service} = this.cores.get(id)!;
    service.close();
    this.closed.add(id);
  }

  /** Whether a core node was closed for a planned stop. */
  isClosed(id: string): boolean {
    return this.closed.has(id);
  }

  startCore(id: string): void {
    this.closed.delete(id);
    const common = this.common(id, id[0]!);
    const service = new LeaderService({
      ...common,
      reportAddress: `${id}:1`,
      leadership: () => this.election.leadershipOf(id),
    });
    this.cores.set(id, {clock: common.clock, service});
  }

  submit(entry: string, id: string, opts = {}): void {
    const {host, path, job, patienceMs} = PoolBench.submission(id, {
      estimatedMs: this.runMs,
      patienceMs: 1_500,
      ...opts,
    });
    const answers = this.log.answers.get(id) ?? [];
    this.log.answers.set(id, answers);
    this.log.submittedAt.set(id, this.now);
    this.entries
      .get(entry)!
      .gateway.submit({host, path, job, patienceMs}, answer =>
        answers.push({...answer, at: this.now}),
      );
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
      this.clock.advance(1);
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
      this.tick();
    }
  }

  /** Submits a job every `everyMs` at each entry node for some time. */
  async runLoad(ms: number, everyMs: number, opts = {}): Promise<void> {
    for (let passed = 0; passed < ms; passed += everyMs) {
      for (const [id, {clock}] of this.entries) {
        if (clock.isSuspended) continue;
        this.submit(id, `${id}-${this.now}`, opts);
      }
      await this.run(everyMs);
    }
  }

  private tick(): void {
    const now = this.clock.now();
    if (now % TICK_MS.core === 0) {
      this.election.tick();
      for (const [id, {clock, service}] of this.cores) {
        if (!clock.isSuspended && !this.closed.has(id)) service.tick(now);
      }
      for (const {clock, fallback} of this.entries.values()) {
        if (!clock.isSuspended && fallback.isDispatching) fallback.tick(now);
      }
    }
    if (now % TICK_MS.entry === 0) {
      for (const entry of this.entries.values()) {
        if (entry.clock.isSuspended) continue;
        entry.fallback.tick(now);
        entry.presence.tick(now);
        entry.gateway.tick(now);
      }
    }
    let n = 0;
    for (const worker of this.workers.values()) {
      n += 1;
      if ((now + n * 7) % REPORT_MS === 0) void this.report(worker);
    }
  }

  /**
   * Sends a worker's report to a core node that it reaches, preferably to `first`
   * or else to one of its zone.
   */
  async report(
    worker: FakePoolWorker,
    first?: string,
  ): Promise<string | undefined> {
    const {id, zone} = worker.report;
    const rank = (core: string) =>
      core === first ? 2 : Number(this.zoneOf.get(core) === zone);
    const ids = [...this.cores.keys()].sort((a, b) => rank(b) - rank(a));
    for (const core of ids) {
      const {clock, service} = this.cores.get(core)!;
      if (clock.isSuspended || this.isCut(core, id)) continue;
      this.sequence += 1;
      worker.report = {...worker.report, sequence: this.sequence};
      const address = await service.reports.report(worker.report);
      if (address !== undefined) return address;
    }
    return undefined;
  }

  private clockOf(id: string): SuspendableClock {
    return (this.cores.get(id) ?? this.entries.get(id))!.clock;
  }

  private isCut(a: string, b: string): boolean {
    return this.cut.has(`${a} ${b}`);
  }

  /** Live core nodes and whether they reach each other. */
  private votes() {
    const live = [...this.cores]
      .filter(([, {clock}]) => !clock.isSuspended)
      .map(([id]) => id);
    const isConnected = (a: string, b: string) => !this.isCut(a, b);
    return {live, voters: this.seeds.length, isConnected};
  }

  private addWorker(zone: string, n: number): void {
    const id = `${zone}w${n}`;
    this.zoneOf.set(id, zone);
    this.workerNumber += 1;
    const report = {
      id,
      bornAt: 1,
      service: 'svc',
      address: `${id}:1`,
      zone,
      isDraining: false,
      capacity: {cpu: 2_000, memoryMb: 1_000, accelerators: 0},
      labels: [],
      sequence: 0,
    };
    const worker = new FakePoolWorker(report, this.clock, LEASE_MS);
    worker.runMs = () => this.runMs;
    this.workers.set(id, worker);
  }

  private addEntry(zone: string, n: number): void {
    const id = `${zone}e${n}`;
    const common = this.common(id, zone);
    const relief = new ReliefService({...common, share: 1});
    const opts = {...common, relief, zonePeers: new ZonePeers()};
    const fallback = new FallbackService(opts);
    const gateway = new EntryGateway(opts);
    const onDispatcher = (now: number) => gateway.tick(now);
    const presence = new EntryPresence({...opts, fallback, onDispatcher});
    this.entries.set(id, {clock: common.clock, fallback, gateway, presence});
  }

  private record(node: string, event: string, fields: Fields): void {
    this.log.events.push({at: this.now, node, event, fields});
  }

  private common(id: string, zone: string) {
    this.zoneOf.set(id, zone);
    const clock = new SuspendableClock(this.clock);
    const client = new FakeWorkerClient(clock, this.workers);
    client.faultOf = (_call, worker) =>
      this.isCut(id, worker) ? 'order_lost' : 'ok';
    return {
      node: id,
      zone,
      clock,
      peers: this.network.connect(id, clock),
      client,
      directory: new NodeDirectory(id, this.seeds),
      leaseMs: LEASE_MS,
      routing: () => PoolBench.table(),
      evacuated: new EvacuatedZones(() => this.config),
      observer: {
        recordJobEvent: (event: string, job: string, fields: object) =>
          this.record(id, event, {job, ...fields}),
        recordStateChange: (event: string, fields: object) =>
          this.record(id, event, {...fields}),
        recordResponseTime: () => undefined,
        recordPhase: () => undefined,
        incrementCounter: () => undefined,
      },
    };
  }
}
