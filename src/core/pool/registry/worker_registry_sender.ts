import type {PeerTransport} from '../../peer/peer_transport.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {WorkerRegistry} from './worker_registry.js';
import type {WorkerReport} from './worker_report.js';
import {ZoneFallbacks} from './zone_fallbacks.js';

/** Interval at which core nodes receive the full registry. */
const CORE_INTERVAL_MS = 2_000;
/** Interval at which entry nodes receive the workers of their zone. */
const ENTRY_INTERVAL_MS = 4_000;

interface WorkerRegistrySenderOptions {
  readonly node: string;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly registry: WorkerRegistry;
}

/** Replicates the leader's registry to the nodes that may dispatch next. */
export class WorkerRegistrySender {
  private nextCores = 0;
  private nextEntries = 0;

  constructor(private readonly opts: WorkerRegistrySenderOptions) {}

  /** Makes the next tick send to all nodes. */
  makeDue(): void {
    this.nextCores = 0;
    this.nextEntries = 0;
  }

  tick(now: number): void {
    const {registry} = this.opts;
    if (now >= this.nextCores) {
      this.nextCores = now + CORE_INTERVAL_MS;
      const reports = registry.reports;
      this.send(this.coreIds(now), reports, true);
    }
    if (now < this.nextEntries) return;
    this.nextEntries = now + ENTRY_INTERVAL_MS;
    const byZone = new Map<string, WorkerReport[]>();
    for (const report of registry.reports) {
      const reports = byZone.get(report.zone) ?? [];
      reports.push(report);
      byZone.set(report.zone, reports);
    }
    for (const [zone, reports] of byZone) {
      this.sendToFallbacks(zone, reports, true, now);
    }
  }

  /** Sends the report of one worker immediately. */
  sendUpdate(report: WorkerReport, now: number): void {
    this.send(this.coreIds(now), [report], false);
    this.sendToFallbacks(report.zone, [report], false, now);
  }

  private coreIds(now: number): string[] {
    const {directory, node} = this.opts;
    return directory.coreIds(now).filter(id => id !== node);
  }

  private fallbackIds(zone: string, now: number): string[] {
    const {directory} = this.opts;
    return directory
      .seenIds('entry', now)
      .filter(id => directory.zoneOf(id) === zone)
      .sort()
      .slice(0, ZoneFallbacks.MAX);
  }

  /** Each of them gets a rank, which its fencing tokens depend on. */
  private sendToFallbacks(
    zone: string,
    reports: readonly WorkerReport[],
    isWhole: boolean,
    now: number,
  ): void {
    for (const [rank, id] of this.fallbackIds(zone, now).entries()) {
      this.opts.peers.send(id, 'pool.book', {reports, isWhole, rank});
    }
  }

  private send(
    nodes: readonly string[],
    reports: readonly WorkerReport[],
    isComplete: boolean,
  ): void {
    for (const id of nodes) {
      this.opts.peers.send(id, 'pool.book', {reports, isWhole: isComplete});
    }
  }
}
