import type {IndexedWorker} from './indexed_worker.js';
import type {LeasedWorker} from '../lease/leased_worker.js';

/** CPU range of one bucket, in thousandths of a core. */
const BUCKET_CPU = 1_000;
/** Workers with more free cores share the last bucket. */
const BUCKETS = 64;

interface Entry extends IndexedWorker {
  readonly service: string;
  /** Bucket, or -1 if the worker is given no starts. */
  bucket: number;
  /** Index in the bucket. */
  at: number;
}

type State = Omit<IndexedWorker, 'worker'>;

/**
 * Workers that can be given starts, by service and free CPU, so that a start
 * looks only at the workers that have room.
 */
export class WorkerIndex {
  private readonly entries = new Map<LeasedWorker, Entry>();
  private readonly byService = new Map<string, Entry[][]>();
  /** Workers by label, for tasks that prefer a rack. */
  private readonly byLabel = new Map<string, Entry[]>();

  /** `stateOf` returns undefined for a worker that is given no starts. */
  constructor(
    private readonly stateOf: (worker: LeasedWorker) => State | undefined,
  ) {}

  rebuild(workers: readonly LeasedWorker[]): void {
    this.entries.clear();
    this.byService.clear();
    this.byLabel.clear();
    for (const worker of workers) {
      const {service, labels} = worker.report;
      const entry: Entry = {
        worker,
        service,
        freeCpu: 0,
        slowness: 1,
        healthCost: 0,
        bucket: -1,
        at: 0,
      };
      this.entries.set(worker, entry);
      for (const label of labels) {
        const known = this.byLabel.get(label);
        if (known) known.push(entry);
        else this.byLabel.set(label, [entry]);
      }
      this.update(entry);
    }
  }

  /** Takes account of a change of one worker. */
  refresh(worker: LeasedWorker): void {
    const entry = this.entries.get(worker);
    if (entry) this.update(entry);
  }

  /** Whether a worker of the service has this much free CPU. */
  hasRoom(service: string, cpu: number): boolean {
    const buckets = this.byService.get(service);
    if (!buckets) return false;
    for (let at = bucketOf(cpu); at < BUCKETS; at += 1) {
      for (const entry of buckets[at] ?? []) {
        if (entry.freeCpu >= cpu) return true;
      }
    }
    return false;
  }

  /** Visits the workers with this much free CPU, those with little first. */
  visitFitting(
    service: string,
    cpu: number,
    visit: (entry: IndexedWorker) => void,
  ): void {
    const buckets = this.byService.get(service);
    if (!buckets) return;
    for (let at = bucketOf(cpu); at < BUCKETS; at += 1) {
      const bucket = buckets[at]!;
      for (const entry of bucket) if (entry.freeCpu >= cpu) visit(entry);
    }
  }

  /** Workers with a label and this much free CPU. */
  *labelled(
    label: string,
    service: string,
    cpu: number,
  ): Iterable<IndexedWorker> {
    for (const entry of this.byLabel.get(label) ?? []) {
      if (entry.bucket < 0 || entry.service !== service) continue;
      if (entry.freeCpu >= cpu) yield entry;
    }
  }

  private update(entry: Entry): void {
    const state = this.stateOf(entry.worker);
    if (!state) return this.move(entry, -1);
    entry.freeCpu = state.freeCpu;
    entry.slowness = state.slowness;
    entry.healthCost = state.healthCost;
    this.move(entry, bucketOf(state.freeCpu));
  }

  private move(entry: Entry, bucket: number): void {
    if (entry.bucket === bucket) return;
    const buckets = this.bucketsOf(entry.service);
    if (entry.bucket >= 0) {
      const list = buckets[entry.bucket]!;
      const last = list.pop()!;
      if (last !== entry) {
        list[entry.at] = last;
        last.at = entry.at;
      }
    }
    entry.bucket = bucket;
    if (bucket < 0) return;
    entry.at = (buckets[bucket] ??= []).push(entry) - 1;
  }

  private bucketsOf(service: string): Entry[][] {
    let buckets = this.byService.get(service);
    if (!buckets) {
      buckets = Array.from({length: BUCKETS}, () => []);
      this.byService.set(service, buckets);
    }
    return buckets;
  }
}

function bucketOf(cpu: number): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.floor(cpu / BUCKET_CPU)));
}
