import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {PoolMessage} from '../node/pool_message.js';
import type {PoolObserver} from '../pool_observer.js';
import type {WorkerRegistry} from './worker_registry.js';
import type {WorkerRegistrySender} from './worker_registry_sender.js';
import {WorkerReport} from './worker_report.js';

/** Must be below one second, after which a worker's report times out. */
const LEADER_REQUEST_TIMEOUT_MS = 700;
/** Interval at which a node passes reports without news on to the leader. */
const FORWARD_MS = 500;

interface WorkerReportServiceOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly registry: WorkerRegistry;
  readonly registrySender: WorkerRegistrySender;
  /** Address of this node to which workers send their reports. */
  readonly reportAddress: string;
  /** Whether this node leads and keeps the list of all workers. */
  readonly isLeading: () => boolean;
  /** Whether this node is the holder of a zone. Default: never. */
  readonly holds?: (zone: string) => boolean;
  /** Called when a report with news was stored. */
  readonly onNews: (now: number) => void;
  readonly observer: PoolObserver;
}

/**
 * Takes the reports of workers on a core node. News is passed on to the leader
 * and to the holder of the worker's zone before the worker gets its reply. Reports
 * without news are collected, so that these do not serve the connections of the
 * whole fleet.
 */
export class WorkerReportService {
  /** Reports to pass on, by worker. */
  private readonly pending = new Map<string, WorkerReport>();
  /** Workers that have left without notice to one of the nodes concerned. */
  private readonly departed = new Map<string, WorkerReport>();
  private nextForward = 0;

  constructor(private readonly opts: WorkerReportServiceOptions) {
    const {peers, registry} = opts;
    peers.onMessage('pool.reports', (_from, body, now) =>
      this.onForwarded(body, now),
    );
    peers.onMessage('pool.left', (_from, body, now) => {
      if (!v.is(PoolMessage.left, body)) return;
      registry.remove(body.id, now, body.bornAt);
    });
    peers.onRequest('pool.report', (_from, body) => this.onReport(body));
    peers.onRequest('pool.leave', (_from, body) => this.onLeave(body));
  }

  /**
   * Takes a worker's report. Returns the address for later reports, or undefined
   * if neither the leader nor the holder of the worker's zone has accepted it.
   */
  async report(report: WorkerReport): Promise<string | undefined> {
    const {registry, clock, isLeading, reportAddress} = this.opts;
    const now = clock.now();
    const known = registry.entries.get(report.id)?.report;
    const receivers = this.receivers(report.zone, now);
    const isPassedOn = receivers.length > 0 && !isLeading();
    if (isPassedOn && known && !isNews(report, known)) {
      if (registry.update(report, now)) this.pending.set(report.id, report);
      return reportAddress;
    }
    const accepted = await this.requestAll(receivers, 'pool.report', report);
    // The one that has not replied gets the news with the next reports.
    if (accepted > 0 && accepted < receivers.length) {
      this.pending.set(report.id, report);
    }
    return accepted > 0 ? reportAddress : undefined;
  }

  /**
   * Notifies the leader and the holder of the zone that a worker leaves; false if
   * neither was reached.
   */
  async leave(id: string): Promise<boolean> {
    const {registry, clock} = this.opts;
    const report = registry.entries.get(id)?.report;
    const isOutdated = report !== undefined && !report.isDraining;
    if (!isOutdated) this.pending.delete(id);
    const receivers = this.receivers(report?.zone, clock.now());
    const accepted = await this.requestAll(receivers, 'pool.leave', {id});
    const isPartial = accepted > 0 && accepted < receivers.length;
    if (report && !isOutdated && isPartial) {
      this.departed.set(id, report);
    }
    return accepted > 0;
  }

  /** Passes collected reports on to the leader and holders if it is time to. */
  tick(now: number): void {
    const count = this.pending.size + this.departed.size;
    if (count === 0 || now < this.nextForward) return;
    const {node, peers} = this.opts;
    this.forwardLeaves(now);
    const byReceiver = new Map<string, WorkerReport[]>();
    for (const report of this.pending.values()) {
      for (const receiver of this.receivers(report.zone, now)) {
        const reports = byReceiver.get(receiver) ?? [];
        reports.push(report);
        byReceiver.set(receiver, reports);
      }
    }
    if (byReceiver.size === 0) return;
    this.nextForward = now + FORWARD_MS;
    this.pending.clear();
    for (const [receiver, reports] of byReceiver) {
      if (receiver !== node) peers.send(receiver, 'pool.reports', {reports});
    }
  }

  /** Repeats leaves to the nodes concerned, one of which has not replied. */
  private forwardLeaves(now: number): void {
    const {node, peers} = this.opts;
    for (const [id, {zone, bornAt}] of this.departed) {
      const receivers = this.receivers(zone, now);
      if (receivers.length === 0) continue;
      this.departed.delete(id);
      for (const receiver of receivers) {
        if (receiver !== node) peers.send(receiver, 'pool.left', {id, bornAt});
      }
    }
  }

  /** The leader and the holder of a zone, as far as they are known. */
  private receivers(zone: string | undefined, now: number): string[] {
    const {claims} = this.opts.directory;
    const leader = claims.leader(now)?.node;
    const holder =
      zone === undefined ? undefined : claims.liveHolderOf(zone, now);
    return [...new Set([leader ?? [], holder ?? []].flat())];
  }

  /** Number of the nodes that have accepted the request. */
  private async requestAll(
    nodes: readonly string[],
    method: string,
    body: unknown,
  ): Promise<number> {
    const {peers} = this.opts;
    const replies = await Promise.all(
      nodes.map(node =>
        peers.request(node, method, body, LEADER_REQUEST_TIMEOUT_MS),
      ),
    );
    return replies.filter(res => res.isOk && res.value === true).length;
  }

  private takes(zone: string | undefined): boolean {
    const {isLeading, holds} = this.opts;
    return isLeading() || (zone !== undefined && (holds?.(zone) ?? false));
  }

  private onForwarded(body: unknown, now: number): void {
    if (!v.is(PoolMessage.reports, body)) return;
    for (const report of body.reports) {
      if (this.takes(report.zone)) this.accept(report, now);
    }
  }

  private onReport(body: unknown): Promise<boolean> {
    const {clock} = this.opts;
    if (!v.is(WorkerReport, body) || !this.takes(body.zone)) {
      return Promise.resolve(false);
    }
    this.accept(body, clock.now());
    return Promise.resolve(true);
  }

  /** Stores a report that this node needs; an outdated one has no effect. */
  private accept(report: WorkerReport, now: number): void {
    const {registry, registrySender, observer, isLeading, onNews} = this.opts;
    const known = registry.entries.get(report.id)?.report;
    if (!registry.update(report, now)) return;
    if (known && !isNews(report, known)) return;
    if (isLeading()) registrySender.sendUpdate(report, now);
    observer.recordStateChange('worker_report', {
      worker: report.id,
      draining: report.isDraining,
      sequence: report.sequence,
    });
    onNews(now);
  }

  private onLeave(body: unknown): Promise<boolean> {
    const {clock, directory, node, observer} = this.opts;
    const {peers, registry, isLeading} = this.opts;
    if (!v.is(PoolMessage.left, body)) return Promise.resolve(false);
    const known = registry.entries.get(body.id)?.report;
    if (!this.takes(known?.zone)) return Promise.resolve(false);
    // A departure does not name its process, but a process drains before it leaves.
    // One that does not drain has started under the id since.
    if (known && !known.isDraining && body.bornAt === undefined) {
      const {id: worker, bornAt: born_at} = known;
      observer.recordStateChange('departure_outdated', {worker, born_at});
      return Promise.resolve(true);
    }
    const now = clock.now();
    const bornAt = body.bornAt ?? known?.bornAt;
    registry.remove(body.id, now, bornAt);
    if (!isLeading()) return Promise.resolve(true);
    const left = {...body, ...(bornAt === undefined ? {} : {bornAt})};
    for (const id of directory.coreIds(now)) {
      if (id !== node) peers.send(id, 'pool.left', left);
    }
    return Promise.resolve(true);
  }
}

/** Whether a report says more than that the worker is still there. */
function isNews(report: WorkerReport, known: WorkerReport): boolean {
  const {capacity} = report;
  return (
    known.isDraining !== report.isDraining ||
    known.address !== report.address ||
    known.bornAt !== report.bornAt ||
    known.service !== report.service ||
    known.capacity.cpu !== capacity.cpu ||
    known.capacity.memoryMb !== capacity.memoryMb ||
    known.capacity.accelerators !== capacity.accelerators
  );
}
