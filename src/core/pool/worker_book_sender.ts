import type {PeerTransport} from '../peer/peer_transport.js';
import type {NodeDirectory} from './node_directory.js';
import type {WorkerBook} from './worker_book.js';
import type {WorkerReport} from './worker_report.js';

/** Interval at which core nodes get the whole book. */
const CORE_INTERVAL_MS = 2_000;
/** Interval at which the entry nodes get their zone's part of it. */
const ENTRY_INTERVAL_MS = 4_000;
/** Entry nodes of each zone that could serve it without a lead. */
const FALLBACKS_PER_ZONE = 3;

interface WorkerBookSenderOptions {
  readonly node: string;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly book: WorkerBook;
}

/** Spreads the lead's book of workers to those that may dispatch after it. */
export class WorkerBookSender {
  private nextCores = 0;
  private nextEntries = 0;

  constructor(private readonly opts: WorkerBookSenderOptions) {}

  /** Makes everything due. */
  hurry(): void {
    this.nextCores = 0;
    this.nextEntries = 0;
  }

  tick(now: number): void {
    const {book} = this.opts;
    if (now >= this.nextCores) {
      this.nextCores = now + CORE_INTERVAL_MS;
      const reports = book.reports;
      this.send(this.cores(now), reports, true);
    }
    if (now < this.nextEntries) return;
    this.nextEntries = now + ENTRY_INTERVAL_MS;
    const byZone = new Map<string, WorkerReport[]>();
    for (const report of book.reports) {
      const reports = byZone.get(report.zone) ?? [];
      reports.push(report);
      byZone.set(report.zone, reports);
    }
    for (const [zone, reports] of byZone) {
      this.send(this.fallbacks(zone, now), reports, true);
    }
  }

  /** Tells of one worker at once. */
  tell(report: WorkerReport, now: number): void {
    const nodes = [...this.cores(now), ...this.fallbacks(report.zone, now)];
    this.send(nodes, [report], false);
  }

  private cores(now: number): string[] {
    const {directory, node} = this.opts;
    return directory.coreIds(now).filter(id => id !== node);
  }

  private fallbacks(zone: string, now: number): string[] {
    const {directory} = this.opts;
    return directory
      .heardIds('entry', now)
      .filter(id => directory.zoneOf(id) === zone)
      .sort()
      .slice(0, FALLBACKS_PER_ZONE);
  }

  private send(
    nodes: readonly string[],
    reports: readonly WorkerReport[],
    isWhole: boolean,
  ): void {
    for (const id of nodes) {
      this.opts.peers.send(id, 'pool.book', {reports, isWhole});
    }
  }
}
