import type {WorkerReport} from './worker_report.js';

/** A worker that has not reported for this long is forgotten. */
const FORGET_MS = 8_000;

interface Entry {
  readonly report: WorkerReport;
  readonly seenAt: number;
}

/** The newest report of each worker, as soft state. */
export class WorkerBook {
  private readonly byId = new Map<string, Entry>();
  /** Lives that said goodbye; late reports of them are ignored. */
  private readonly left = new Map<string, number>();

  get entries(): ReadonlyMap<string, Entry> {
    return this.byId;
  }

  get reports(): WorkerReport[] {
    return [...this.byId.values()].map(({report}) => report);
  }

  /**
   * Takes a report unless a newer one is known. Returns whether it was taken.
   */
  note(report: WorkerReport, now: number): boolean {
    if (this.left.get(report.id) === report.bornAt) return false;
    const known = this.byId.get(report.id)?.report;
    if (known && isNewer(known, report)) return false;
    this.byId.set(report.id, {report, seenAt: now});
    return true;
  }

  /** Forgets a worker that has left. */
  remove(id: string, now: number): void {
    const known = this.byId.get(id);
    if (known) this.left.set(id, known.report.bornAt);
    this.byId.delete(id);
    this.expire(now);
  }

  /** Forgets all others; a newer report brings them back. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of [...this.byId.keys()]) {
      if (!ids.has(id)) this.byId.delete(id);
    }
  }

  /** Forgets workers that no longer report; returns their ids. */
  expire(now: number): string[] {
    const gone: string[] = [];
    for (const [id, {seenAt}] of this.byId) {
      if (now - seenAt <= FORGET_MS) continue;
      this.byId.delete(id);
      gone.push(id);
    }
    if (this.left.size > 1_000) {
      const [oldest] = this.left.keys();
      this.left.delete(oldest!);
    }
    return gone;
  }
}

/** Whether `a` is from a later life or later in the same one than `b`. */
function isNewer(a: WorkerReport, b: WorkerReport): boolean {
  return a.bornAt === b.bornAt ? a.sequence >= b.sequence : a.bornAt > b.bornAt;
}
