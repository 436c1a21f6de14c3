import type {LeaseOptions} from './lease_options.js';
import {LeasedWorker} from './leased_worker.js';
import type {PoolObserver} from './pool_observer.js';
import type {WorkerBook} from './worker_book.js';

interface WorkerFleetOptions extends LeaseOptions {
  readonly book: WorkerBook;
  readonly observer: PoolObserver;
  /** Called when a worker is forgotten. */
  readonly onGone: (id: string) => void;
}

/** The workers of one lead, kept in step with the book of reports. */
export class WorkerFleet {
  private readonly byId = new Map<string, LeasedWorker>();

  constructor(private readonly opts: WorkerFleetOptions) {}

  get size(): number {
    return this.byId.size;
  }

  get all(): readonly LeasedWorker[] {
    return [...this.byId.values()];
  }

  tick(now: number): void {
    this.sync();
    for (const worker of this.byId.values()) worker.tick(now);
  }

  private sync(): void {
    const {book, client, observer, onGone} = this.opts;
    for (const [id, {report, seenAt}] of book.entries) {
      const known = this.byId.get(id);
      if (known?.report.address === report.address) {
        known.report = report;
        known.seenAt = seenAt;
        continue;
      }
      known?.close();
      this.byId.set(id, new LeasedWorker(this.opts, report, seenAt));
      const {zone, service} = report;
      observer.recordStateChange('worker_joined', {
        worker: id,
        worker_zone: zone,
        service,
      });
    }
    for (const [id, worker] of this.byId) {
      if (book.entries.has(id) || !worker.isIdle) continue;
      this.byId.delete(id);
      onGone(id);
      client.release(worker.report.address);
      observer.recordStateChange('worker_gone', {worker: id});
    }
  }
}
