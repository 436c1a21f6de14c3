import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {PoolDispatcher} from '../dispatcher/pool_dispatcher.js';
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
  /** Dispatcher of this node, while it leads. */
  readonly dispatcher: () => PoolDispatcher | undefined;
  readonly observer: PoolObserver;
}

/**
 * Takes the reports of workers on a core node. News is passed on to the leader
 * before the worker gets its reply. Reports without news are collected, so that
 * the leader does not serve the connections of the whole fleet.
 */
export class WorkerReportService {
  /** Reports to pass on, by worker. */
  private readonly pending = new Map<string, WorkerReport>();
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
   * if no leader is known or the leader has not accepted it.
   */
  async report(report: WorkerReport): Promise<string | undefined> {
    const {registry, directory, clock, dispatcher, reportAddress} = this.opts;
    const now = clock.now();
    const known = registry.entries.get(report.id)?.report;
    const hasLeader = directory.dispatcher(now) !== undefined;
    if (hasLeader && !dispatcher() && known && !isNews(report, known)) {
      if (registry.update(report, now)) this.pending.set(report.id, report);
      return reportAddress;
    }
    const isAccepted = await this.requestLeader('pool.report', report);
    return isAccepted === true ? reportAddress : undefined;
  }

  /** Notifies the leader that a worker leaves; false if none was reached. */
  async leave(id: string): Promise<boolean> {
    this.pending.delete(id);
    return (await this.requestLeader('pool.leave', {id})) === true;
  }

  /** Passes collected reports on to the leader if it is time to. */
  tick(now: number): void {
    if (this.pending.size === 0 || now < this.nextForward) return;
    const {directory, node, peers} = this.opts;
    const leader = directory.dispatcher(now);
    if (!leader) return;
    this.nextForward = now + FORWARD_MS;
    const reports = [...this.pending.values()];
    this.pending.clear();
    if (leader.node === node) return;
    peers.send(leader.node, 'pool.reports', {reports});
  }

  private async requestLeader(method: string, body: unknown): Promise<unknown> {
    const {directory, clock, peers} = this.opts;
    const leader = directory.dispatcher(clock.now());
    if (!leader) return undefined;
    const res = await peers.request(
      leader.node,
      method,
      body,
      LEADER_REQUEST_TIMEOUT_MS,
    );
    return res.isOk ? res.value : undefined;
  }

  private onForwarded(body: unknown, now: number): void {
    if (!this.opts.dispatcher() || !v.is(PoolMessage.reports, body)) return;
    for (const report of body.reports) this.accept(report, now);
  }

  private onReport(body: unknown): Promise<boolean> {
    const {dispatcher, clock} = this.opts;
    if (!dispatcher() || !v.is(WorkerReport, body)) {
      return Promise.resolve(false);
    }
    this.accept(body, clock.now());
    return Promise.resolve(true);
  }

  /** Stores a report on the leader; an outdated one has no effect. */
  private accept(report: WorkerReport, now: number): void {
    const {registry, registrySender, observer, dispatcher} = this.opts;
    const known = registry.entries.get(report.id)?.report;
    if (!registry.update(report, now)) return;
    if (known && !isNews(report, known)) return;
    registrySender.sendUpdate(report, now);
    observer.recordStateChange('worker_report', {
      worker: report.id,
      draining: report.isDraining,
      sequence: report.sequence,
    });
    dispatcher()?.tick(now);
  }

  private onLeave(body: unknown): Promise<boolean> {
    const {clock, directory, node, peers, registry, dispatcher} = this.opts;
    if (!dispatcher() || !v.is(PoolMessage.left, body)) {
      return Promise.resolve(false);
    }
    const now = clock.now();
    const bornAt = body.bornAt ?? registry.entries.get(body.id)?.report.bornAt;
    registry.remove(body.id, now, bornAt);
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
