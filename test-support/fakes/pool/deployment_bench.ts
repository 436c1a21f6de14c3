import {EntryGateway} from '../../../src/core/pool/entry/entry_gateway.js';
import {EntryPresence} from '../../../src/core/pool/entry/entry_presence.js';
import {FallbackService} from '../../../src/core/pool/entry/fallback_service.js';
import {ReliefService} from '../../../src/core/pool/pressure/relief_service.js';
import {ZonePeers} from '../../../src/core/pool/entry/zone_peers.js';
import {LeaderService} from '../../../src/core/pool/node/leader_service.js';
import {NodeDirectory} from '../../../src/core/pool/node/node_directory.js';
import {WorkerRelay} from '../../../src/core/pool/relay/worker_relay.js';
import {EvacuatedZones} from '../../../src/core/routing/evacuated_zones.js';
import {FakeClock} from '../fake_clock.js';
import {DeploymentLinks} from './deployment_links.js';
import {DeploymentLog} from './deployment_log.js';
import {FakeElection} from './fake_election.js';
import {FakePoolWorker} from './fake_pool_worker.js';
import {FakeWorkerClient} from './fake_worker_client.js';
import {PoolBench} from './pool_bench.js';
import {POOL_WORKER_REPORT} from './pool_worker_report.js';
import {PoolNetwork} from './pool_network.js';
import {SuspendableClock} from './suspendable_clock.js';
import {WaitingCallers} from './waiting_callers.js';

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
  readonly id: string;
  readonly clock: SuspendableClock;
  readonly service: LeaderService;
}

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
export class DeploymentBench extends DeploymentLinks {
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
  /** Ids of all core nodes. */
  readonly seeds: string[] = [];
  /** Chooses the fault of an order to a worker that is not cut off. */
  orderFault: FakeWorkerClient['faultOf'] = () => 'ok';
  /** Callers that wait for an answer. */
  readonly callers = new WaitingCallers();
  private readonly closed = new Set<string>();
  private sequence = 0;
  private readonly startedAt = this.clock.now();

  constructor(opts: BenchOptions = {}) {
    super();
    const {zones = ['x', 'y', 'z'], coresPerZone = 2} = opts;
    const {entriesPerZone = 2, workersPerZone = 50} = opts;
    this.network.isConnected = (a, b) => !this.isCut(a, b);
    this.network.delayMs = (a, b) => this.delayMs(a, b);
    this.election = new FakeElection(this.clock, () => this.votes());
    for (const zone of zones) {
      for (let n = 1; n <= coresPerZone; n += 1) {
        this.seeds.push(`${zone}c${n}`);
      }
    }
    for (const id of this.seeds) this.startCore(id);
    for (const zone of zones) {
      for (let n = 1; n <= entriesPerZone; n += 1) {
        this.startEntry(`${zone}e${n}`);
      }
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
      if (service.zoneToken > 0) (found[this.zoneOf.get(id)!] ??= []).push(id);
    }
    return found;
  }

  fallbacks(): string[] {
    return [...this.entries]
      .filter(([, {fallback}]) => fallback.isDispatching)
      .map(([id]) => id);
  }

  suspend(id: string, isCounted = true): void {
    this.clockOf(id).suspend(isCounted);
  }

  resume(id: string): void {
    this.clockOf(id).resume();
  }

  /** Lets a node run only every `lagMs`, as with too little of a processor. */
  starve(id: string, lagMs: number): void {
    this.clockOf(id).starve(lagMs);
  }

  /** Makes each turn of a node's event loop last `turnMs`, until `starve` ends it. */
  overload(id: string, turnMs: number): void {
    this.clockOf(id).starve(turnMs, true);
  }

  /** Ends a process without notice. */
  kill(id: string): void {
    this.clockOf(id).isSuspended = true;
    this.clockOf(id).lagMs = 0;
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
      leadership: () => this.election.leadershipOf(id, common.clock),
    });
    this.cores.set(id, {id, clock: common.clock, service});
  }

  submit(entry: string, id: string, opts = {}): void {
    const {host, path, job, patienceMs} = PoolBench.submission(id, {
      estimatedMs: this.runMs,
      patienceMs: 1_500,
      ...opts,
    });
    this.log.recordSubmit(id, entry, this.now);
    const respond = this.callers.add(id, entry, answer =>
      this.log.recordAnswer(id, entry, answer, this.now),
    );
    const {clock, gateway} = this.entries.get(entry)!;
    const req = {host, path, job, patienceMs};
    clock.receiveFromCaller(() => gateway.submit(req, respond));
  }

  /** Breaks the connection over which a job was submitted. */
  disconnectCaller(id: string): void {
    const caller = this.callers.remove(id);
    if (caller) this.log.recordRequestEnd(id, caller.entry, this.now);
    const node = caller && this.entries.get(caller.entry);
    node?.clock.receiveFromCaller(() => node.gateway.drop(id, caller!.respond));
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
        if (!clock.isSuspended) this.submit(id, `${id}-${this.now}`, opts);
      }
      await this.run(everyMs);
    }
  }

  private tick(): void {
    const now = this.clock.now();
    for (const node of [...this.cores.values(), ...this.entries.values()]) {
      const {clock} = node;
      if (clock.lagMs === 0 || now % clock.lagMs !== 0) continue;
      clock.resume(() => this.tickNode(node));
      clock.isSuspended = true;
    }
    if (now % TICK_MS.core === 0) {
      this.election.tick();
      for (const core of this.cores.values()) {
        if (!core.clock.isSuspended) this.tickNode(core);
      }
      for (const {clock, fallback} of this.entries.values()) {
        if (clock.isSuspended || !fallback.isDispatching) continue;
        fallback.tick(clock.now());
      }
    }
    if (now % TICK_MS.entry === 0) {
      for (const entry of this.entries.values()) {
        if (!entry.clock.isSuspended) this.tickNode(entry);
      }
    }
    let n = 0;
    for (const worker of this.workers.values()) {
      n += 1;
      if ((now + n * 7) % REPORT_MS === 0) void this.report(worker);
    }
  }

  private tickNode(node: Core | Entry): void {
    const now = node.clock.now();
    if ('service' in node) {
      if (!this.closed.has(node.id)) node.service.tick(now);
      return;
    }
    node.fallback.tick(now);
    node.presence.tick(now);
    node.gateway.tick(now);
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
      // A node may be lost while another one takes the report.
      const node = this.cores.get(core);
      if (!node || node.clock.isSuspended || this.isCut(id, core)) continue;
      this.sequence += 1;
      worker.report = {...worker.report, sequence: this.sequence};
      const address = await node.service.reports.report(worker.report);
      if (address !== undefined) return address;
    }
    return undefined;
  }

  private clockOf(id: string): SuspendableClock {
    return (this.cores.get(id) ?? this.entries.get(id))!.clock;
  }

  /** Live core nodes and whether they reach each other. */
  private votes() {
    const live = [...this.cores]
      .filter(([, {clock}]) => !clock.isSuspended || clock.lagMs > 0)
      .map(([id]) => id);
    return {
      live,
      voters: this.seeds.length,
      isConnected: (a: string, b: string) => this.areLinked(a, b),
      lagMs: (id: string) => this.cores.get(id)!.clock.lagMs,
    };
  }

  private addWorker(zone: string, n: number): void {
    const id = `${zone}w${n}`;
    this.zoneOf.set(id, zone);
    const report = {
      ...POOL_WORKER_REPORT,
      id,
      service: 'svc',
      address: `${id}:1`,
      zone,
      capacity: {cpu: 2_000, memoryMb: 1_000, accelerators: 0},
    };
    const worker = new FakePoolWorker(report, this.clock, LEASE_MS);
    worker.runMs = () => this.runMs;
    this.workers.set(id, worker);
  }

  startEntry(id: string): void {
    const zone = id[0]!;
    const common = this.common(id, zone);
    new WorkerRelay(common);
    const relief = new ReliefService({...common, share: 1});
    const opts = {...common, relief, zonePeers: new ZonePeers()};
    const fallback = new FallbackService(opts);
    const gateway = new EntryGateway(opts);
    const onDispatcher = (now: number) => gateway.onDispatcher(now);
    const presence = new EntryPresence({...opts, fallback, onDispatcher});
    this.entries.set(id, {clock: common.clock, fallback, gateway, presence});
  }

  private common(id: string, zone: string) {
    this.zoneOf.set(id, zone);
    const clock = new SuspendableClock(this.clock);
    const client = new FakeWorkerClient(clock, this.workers, 1, this.clock);
    client.faultOf = (call, worker) => {
      if (this.isCut(id, worker)) return 'order_lost';
      if (this.isCut(worker, id)) return 'answer_lost';
      return this.orderFault(call, worker);
    };
    client.onOrder = this.log.createOrderListener(id, () => this.now);
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
      observer: this.log.createObserver(id, () => this.now),
    };
  }
}
