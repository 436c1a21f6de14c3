import type {PoolEntry} from './pool_entry.js';
import type {RunTimes} from './run_times.js';

/** Orders jobs by the time at which they must start to be on time. */
export class PoolOrder {
  constructor(private readonly times: RunTimes) {}

  /** Jobs with waiting tasks; the first is served first. */
  sort(jobs: Iterable<PoolEntry>, now: number): PoolEntry[] {
    const keyed: Array<{entry: PoolEntry; key: number}> = [];
    for (const entry of jobs) {
      if (entry.isAbandoned || now < entry.startsAt) continue;
      if (!entry.tasks.some(t => t.state === 'waiting')) continue;
      keyed.push({entry, key: this.keyOf(entry, now)});
    }
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(k => k.entry);
  }

  private keyOf(entry: PoolEntry, now: number): number {
    const restMs = this.times.restMs(entry);
    const work = this.times.workMs(entry);
    const isLate = now + restMs > entry.objectiveAt;
    // Jobs that can still be on time come first, the smallest before others.
    return work + (isLate ? LATE_PENALTY_MS : 0);
  }
}

/** Larger than the work of any job. */
const LATE_PENALTY_MS = 1e9;
