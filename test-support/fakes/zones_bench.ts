import {setImmediate} from 'node:timers/promises';
import type {Result} from 'true-myth';
import type {ClassConfig} from '../../src/core/config/class_config.js';
import type {ConfigSource} from '../../src/core/config/config_source.js';
import {StaticConfigSource} from '../../src/core/config/static_config_source.js';
import type {DispatchObserver} from '../../src/core/dispatch/dispatch_observer.js';
import type {DispatchPolicy} from '../../src/core/dispatch/dispatch_policy.js';
import {FifoPolicy} from '../../src/core/dispatch/fifo_policy.js';
import {SingleNodeReplicator} from '../../src/core/group/single_node_replicator.js';
import type {JobAnswer} from '../../src/core/job/job_answer.js';
import type {JobKey} from '../../src/core/job/job_key.js';
import type {JobRequest} from '../../src/core/job/job_request.js';
import {JobTable} from '../../src/core/job/job_table.js';
import type {Refusal} from '../../src/core/job/refusal.js';
import {RemoteZoneUpstreamClient} from '../../src/core/overflow/remote_zone_upstream_client.js';
import {RoutingUpstreamClient} from '../../src/core/overflow/routing_upstream_client.js';
import type {WorkerAnnouncement} from '../../src/core/worker/worker_announcement.js';
import {JobRouter} from '../../src/daemon/zone/job_router.js';
import {ZoneDirectory} from '../../src/daemon/zone/zone_directory.js';
import {ZoneService} from '../../src/daemon/zone/zone_service.js';
import {DispatchBench} from './dispatch_bench.js';
import {FakeClock} from './fake_clock.js';
import {FakeFleet} from './fake_fleet.js';
import {InMemoryPeers} from './in_memory_peers.js';

const ANNOUNCE_INTERVAL_MS = 500;
const STEP_MS = 0.25;
/** Longer than a newly formed group waits before it offers slots. */
const WARM_UP_MS = 6_000;

interface ZonesBenchOptions {
  /** Number of slots of each zone, by zone. */
  readonly zones: Readonly<Record<string, number>>;
  /** Number of slots of each worker. Default: one worker for each zone. */
  readonly workerSlots?: number;
  /** Default: one class `default` with a target of 2 s. */
  readonly classes?: readonly ClassConfig[];
  /** Default: first come, first served. */
  readonly newPolicy?: (config: ConfigSource, zone: string) => DispatchPolicy;
  /** Whether zones offer spare slots to each other. Default true. */
  readonly lends?: boolean;
  /** One-way delay of a message between zones. Default 0.5 ms. */
  readonly zoneDelayMs?: number;
  /** One-way delay of a message to a worker. Default 0.5 ms. */
  readonly workerDelayMs?: number;
  /** Default: none. */
  readonly observer?: DispatchObserver;
}

interface ZoneParts {
  readonly fleet: FakeFleet;
  readonly service: ZoneService;
  readonly router: JobRouter;
}

/**
 * Several zones with one dispatcher and fake workers each, on a fake clock. The
 * only node of a zone has the name of the zone.
 */
export class ZonesBench {
  readonly clock = new FakeClock();
  readonly peers: InMemoryPeers;
  readonly zones = new Map<string, ZoneParts>();

  private constructor(private readonly opts: ZonesBenchOptions) {
    this.peers = new InMemoryPeers(this.clock, opts.zoneDelayMs);
    const names = Object.keys(opts.zones);
    for (const zone of names) this.zones.set(zone, this.build(zone, names));
    this.scheduleAnnouncements();
  }

  /** Waits until workers are registered and zones have offered spare slots. */
  static async create(opts: ZonesBenchOptions): Promise<ZonesBench> {
    const bench = new ZonesBench(opts);
    await bench.advance(WARM_UP_MS);
    return bench;
  }

  zone(name: string): ZoneParts {
    return this.zones.get(name)!;
  }

  /** Advances the clock in steps and runs settled promises in between. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      await setImmediate();
    }
  }

  /** Sends a request from the node of a zone. */
  route(
    zone: string,
    key: JobKey,
    req: JobRequest,
  ): Promise<Result<JobAnswer, Refusal>> {
    return this.zone(zone).router.route(key, req);
  }

  /** Number of starts received by the workers of a zone. */
  starts(zone: string): number {
    let starts = 0;
    for (const worker of this.zone(zone).fleet.workers.values()) {
      starts += worker.starts.length;
    }
    return starts;
  }

  private build(zone: string, names: readonly string[]): ZoneParts {
    const {clock, opts} = this;
    const fleet = new FakeFleet({clock, delayMs: opts.workerDelayMs});
    const total = opts.zones[zone]!;
    const slots = opts.workerSlots ?? total;
    for (let n = 0; n < Math.ceil(total / slots); n += 1) {
      fleet.add(
        announcementOf(zone, n === 0 ? `w-${zone}` : `w-${zone}-${n}`, slots),
      );
    }
    const classes = opts.classes ?? [DispatchBench.classOf('default')];
    const config = new StaticConfigSource({
      version: 1,
      classes: Object.fromEntries(classes.map(c => [c.name, c])),
      tenants: {},
    });
    const peers = this.peers.node(zone);
    const directory = new ZoneDirectory(names.map(id => ({id, zone: id})));
    const router = new JobRouter(directory, peers, clock);
    const remoteZones = new RemoteZoneUpstreamClient({
      clock,
      zone,
      route: (key, req) => router.route(key, req),
    });
    const replicator = new SingleNodeReplicator(zone);
    const service = new ZoneService({
      clock,
      peers,
      replicator,
      zone,
      otherZones: names.filter(name => name !== zone && opts.lends !== false),
      announceSpare: offer => peers.send(offer.zone, 'worker.offer', offer),
      table: new JobTable(),
      policy: opts.newPolicy?.(config, zone) ?? new FifoPolicy(),
      config,
      observer: opts.observer,
      upstream: new RoutingUpstreamClient(fleet, remoteZones),
    });
    peers.onMessage('worker.offer', (_from, offer) =>
      service.announce(offer as WorkerAnnouncement),
    );
    replicator.lead(clock.now());
    return {fleet, service, router};
  }

  private scheduleAnnouncements(): void {
    for (const {fleet, service} of this.zones.values()) {
      for (const worker of fleet.workers.values()) {
        if (!worker.isDead) service.announce(worker.nextAnnouncement());
      }
    }
    this.clock.schedule(ANNOUNCE_INTERVAL_MS, () =>
      this.scheduleAnnouncements(),
    );
  }
}

function announcementOf(
  zone: string,
  worker: string,
  slots: number,
): WorkerAnnouncement {
  return {
    worker,
    incarnation: '1',
    sequence: 0,
    zone,
    rack: 'rack-1',
    address: `http://127.0.0.1/${worker}`,
    slots,
    connections: 64,
    processors: 32,
    memory_mb: 128_000,
    accelerators: 0,
    classes: [],
    leaving: false,
    epoch: 0,
  };
}
