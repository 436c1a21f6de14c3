import {EntryGateway} from '../../../src/core/pool/entry/entry_gateway.js';
import {EntryPresence} from '../../../src/core/pool/entry/entry_presence.js';
import {FallbackService} from '../../../src/core/pool/entry/fallback_service.js';
import {LeaderService} from '../../../src/core/pool/node/leader_service.js';
import {NodeDirectory} from '../../../src/core/pool/node/node_directory.js';
import type {PoolAnswer} from '../../../src/core/pool/job/pool_answer.js';
import type {PeerPressure} from '../../../src/core/pool/pressure/peer_pressure.js';
import {ReliefService} from '../../../src/core/pool/pressure/relief_service.js';
import {ZonePeers} from '../../../src/core/pool/entry/zone_peers.js';
import {EvacuatedZones} from '../../../src/core/routing/evacuated_zones.js';
import {FakeClock} from '../fake_clock.js';
import {LossyPeers} from '../lossy_peers.js';
import {SeededRandom} from '../seeded_random.js';
import {FakePoolWorker} from './fake_pool_worker.js';
import {FakeWorkerClient} from './fake_worker_client.js';
import {PoolBench} from './pool_bench.js';

const LEASE_MS = 600;
const TICK_MS = 20;
const CORE = 'c1';
const REPORT_MS = 1_500;

type HeardPressure = PeerPressure & {readonly isGone: boolean};

interface EntryNode {
  readonly fallback: FallbackService;
  readonly gateway: EntryGateway;
  readonly presence: EntryPresence;
  readonly relief: ReliefService;
}

/** Test bench with a core node, entry nodes and workers in zones `y` and `z`. */
export class ZonePoolBench {
  readonly clock = new FakeClock();
  readonly peers = new LossyPeers(this.clock, new SeededRandom(1));
  readonly workers = new Map<string, FakePoolWorker>();
  readonly entries = new Map<string, EntryNode>();
  core: LeaderService;
  /** Whether the workers report to the core node. */
  doWorkersReport = true;
  readonly events: Array<{readonly node: string; readonly event: string}> = [];
  /** Answers that the callers of each job received. */
  readonly answers = new Map<string, PoolAnswer[]>();
  /** Term in which the core node leads; undefined while it is down. */
  term: number | undefined = 1;
  /** Revision of the queue configuration at each node. */
  readonly revisions = new Map<string, number>();
  /** Version and evacuated zones of the configuration at each node. */
  readonly configs = new Map<
    string,
    {readonly version: number; readonly evacuated: readonly string[]}
  >();
  private readonly zones = new Map<string, string>([[CORE, 'y']]);
  private readonly isolatedZones = new Set<string>();
  private sequence = 0;

  constructor() {
    for (const zone of ['y', 'z']) {
      for (const n of [1, 2]) this.addWorker(`${zone}w${n}`, zone);
    }
    this.core = this.createCore();
    for (const id of ['ye1', 'ze1', 'ze2']) this.addEntry(id, id[0]!);
  }

  /** Partitions a zone from the other one. */
  isolate(zone: string): void {
    this.isolatedZones.add(zone);
    const inside = [...this.zones].filter(([, z]) => z === zone);
    const outside = [...this.zones].filter(([, z]) => z !== zone);
    this.peers.isolate(
      inside.map(([id]) => id),
      outside.map(([id]) => id),
    );
  }

  heal(): void {
    this.isolatedZones.clear();
    this.peers.heal();
  }

  /** Restarts the core node without its previous state. */
  restartCore(term: number): void {
    this.term = term;
    this.core = this.createCore();
  }

  /** Brings a configuration into force at the given nodes. */
  evacuate(
    zones: readonly string[],
    version: number,
    nodes: readonly string[],
  ): void {
    for (const id of nodes) this.configs.set(id, {version, evacuated: zones});
  }

  submit(entry: string, id: string, opts = {}): void {
    const {host, path, job, patienceMs} = PoolBench.submission(id, opts);
    const answers = this.answers.get(id) ?? [];
    this.answers.set(id, answers);
    this.entries
      .get(entry)!
      .gateway.submit({host, path, job, patienceMs}, a => answers.push(a));
  }

  /** Returns what an entry node hears of the pressure of others from now on. */
  recordPressure(entry: string): HeardPressure[] {
    const heard: HeardPressure[] = [];
    const {relief} = this.entries.get(entry)!;
    relief.recordPeer = peer => void heard.push({...peer, isGone: false});
    relief.removePeer = node => {
      heard.push({node, pressure: 0, isRelieved: false, isGone: true});
    };
    return heard;
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
      this.clock.advance(1);
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
      if (this.clock.now() % TICK_MS === 0) await this.tick();
    }
  }

  /** Kind of the last answer to a job. */
  answerOf(id: string): PoolAnswer['kind'] | undefined {
    return this.answers.get(id)?.at(-1)?.kind;
  }

  /** Entry nodes that act as fallback dispatchers. */
  dispatching(): string[] {
    return [...this.entries]
      .filter(([, {fallback}]) => fallback.isDispatching)
      .map(([id]) => id);
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

  private async tick(): Promise<void> {
    const now = this.clock.now();
    if (now % REPORT_MS < TICK_MS) await this.report();
    if (this.term !== undefined) this.core.tick(now);
    for (const {fallback, presence, gateway} of this.entries.values()) {
      fallback.tick(now);
      presence.tick(now);
      gateway.tick(now);
    }
  }

  private async report(): Promise<void> {
    if (this.term === undefined || !this.doWorkersReport) return;
    for (const {report} of this.workers.values()) {
      if (this.isolatedZones.has(report.zone)) continue;
      this.sequence += 1;
      await this.core.reports.report({...report, sequence: this.sequence});
    }
  }

  private addWorker(id: string, zone: string): void {
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
    this.workers.set(id, new FakePoolWorker(report, this.clock, LEASE_MS));
  }

  private createCore(): LeaderService {
    return new LeaderService({
      ...this.common(CORE, 'y'),
      reportAddress: 'c1:1',
      leadership: now =>
        this.term === undefined
          ? undefined
          : {
              term: this.term,
              confirmedAt: now,
              isSettled: true,
              silentMs: 0,
            },
    });
  }

  private addEntry(id: string, zone: string): void {
    this.zones.set(id, zone);
    const options = {...this.common(id, zone), zonePeers: new ZonePeers()};
    const fallback = new FallbackService(options);
    const gateway = new EntryGateway(options);
    const onDispatcher = (now: number) => gateway.onDispatcher(now);
    const relief = new ReliefService({...options, share: 1});
    const presence = new EntryPresence({
      ...options,
      fallback,
      relief,
      onDispatcher,
    });
    this.entries.set(id, {fallback, gateway, presence, relief});
  }

  private common(id: string, zone: string) {
    const client = new FakeWorkerClient(this.clock, this.workers);
    client.faultOf = (_call, worker) => {
      const isIsolated = (z: string) => this.isolatedZones.has(z);
      const at = this.workers.get(worker)!.report.zone;
      const isPartitioned = at !== zone && (isIsolated(at) || isIsolated(zone));
      return isPartitioned ? 'order_lost' : 'ok';
    };
    const record = (event: string) => this.events.push({node: id, event});
    return {
      node: id,
      zone,
      clock: this.clock,
      peers: this.peers.connect(id),
      client,
      directory: new NodeDirectory(id, [CORE]),
      leaseMs: LEASE_MS,
      routing: () => PoolBench.table(this.revisions.get(id)),
      evacuated: new EvacuatedZones(() => this.configs.get(id)),
      observer: {
        recordJobEvent: record,
        recordStateChange: record,
        recordResponseTime: () => undefined,
        recordPhase: () => undefined,
        incrementCounter: () => undefined,
      },
    };
  }
}
