import type {WorkerReport} from './worker_report.js';

/** A worker that has not reported for this long is removed. */
const RETENTION_MS = 8_000;
/** Limit of remembered departures, far more than reports can be late by. */
const MAX_DEPARTED = 1_000;

interface Entry {
  readonly report: WorkerReport;
  readonly seenAt: number;
}

/** Latest report of each worker, as soft state. */
export class WorkerRegistry {
  private readonly byId = new Map<string, Entry>();
  /**
   * Start time of the process instance of each worker that has left. Late
   * reports of these instances are ignored.
   */
  private readonly departed = new Map<string, number>();

  /** `hasService` tells whether the configuration names a service. */
  constructor(
    private readonly hasService: (service: string) => boolean = () => true,
  ) {}

  get entries(): ReadonlyMap<string, Entry> {
    return this.byId;
  }

  get reports(): WorkerReport[] {
    return [...this.byId.values()].map(({report}) => report);
  }

  /** Stores a report unless a newer one is known; returns whether it did. */
  update(report: WorkerReport, now: number): boolean {
    const departedBornAt = this.departed.get(report.id);
    if (departedBornAt !== undefined && report.bornAt <= departedBornAt) {
      return false;
    }
    const known = this.byId.get(report.id)?.report;
    if (known && !this.supersedes(report, known)) return false;
    this.byId.set(report.id, {report, seenAt: now});
    return true;
  }

  /**
   * Removes a worker that has left. `bornAt` is the start time of the process
   * instance that leaves, if it is known: a node that has just started does not
   * know the worker, and other nodes may still send it older reports.
   */
  remove(id: string, now: number, bornAt?: number): void {
    const known = this.byId.get(id)?.report.bornAt;
    const departedBornAt = bornAt ?? known;
    if (departedBornAt !== undefined) {
      const before = this.departed.get(id) ?? departedBornAt;
      this.departed.set(id, Math.max(before, departedBornAt));
    }
    if (known !== undefined && known <= (departedBornAt ?? known)) {
      this.byId.delete(id);
    }
    this.expire(now);
  }

  /** Removes all other workers; a new report adds them again. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of [...this.byId.keys()]) {
      if (!ids.has(id)) this.byId.delete(id);
    }
  }

  /**
   * Whether a report replaces another one with the same id. Other writers send
   * reports too, for services that the configuration does not name; these do not
   * displace a worker, however new they claim to be.
   */
  private supersedes(report: WorkerReport, known: WorkerReport): boolean {
    const isServed = this.hasService(report.service);
    if (isServed !== this.hasService(known.service)) return isServed;
    return !isNewer(known, report);
  }

  /** Removes workers that no longer report; returns their ids. */
  expire(now: number): string[] {
    const gone: string[] = [];
    for (const [id, {seenAt}] of this.byId) {
      if (now - seenAt <= RETENTION_MS) continue;
      this.byId.delete(id);
      gone.push(id);
    }
    for (const id of this.departed.keys()) {
      if (this.departed.size <= MAX_DEPARTED) break;
      this.departed.delete(id);
    }
    return gone;
  }
}

/**
 * Whether `a` is at least as new as `b`: from a later process instance, or from
 * the same one with the same or a higher sequence number.
 */
function isNewer(a: WorkerReport, b: WorkerReport): boolean {
  return a.bornAt === b.bornAt ? a.sequence >= b.sequence : a.bornAt > b.bornAt;
}
