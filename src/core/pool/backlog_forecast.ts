import type {LeasedWorker} from './leased_worker.js';
import type {PoolEntry} from './pool_entry.js';
import type {RunTimes} from './run_times.js';

interface Hopeless {
  readonly entry: PoolEntry;
  /** When the work before it is expected to be done. */
  readonly clearInMs: number;
}

/**
 * Pattern: a flood beyond the room of the workers. Predicts from the work that
 * is served before a waiting job when it can end, so that callers whose answer
 * would come too late are refused while they can still go elsewhere.
 */
export class BacklogForecast {
  constructor(private readonly times: RunTimes) {}

  /**
   * Jobs of which nothing has started and that cannot be answered while the
   * answer is of use. `waiting` are the jobs with waiting tasks, in the order
   * in which they are served.
   */
  findHopeless(
    waiting: readonly PoolEntry[],
    workers: readonly LeasedWorker[],
    now: number,
  ): Hopeless[] {
    const services = new Set(waiting.map(entry => entry.queue.service));
    return [...services].flatMap(service =>
      this.findIn(
        waiting.filter(entry => entry.queue.service === service),
        workers.filter(w => isServing(w, service)),
        now,
      ),
    );
  }

  private findIn(
    waiting: readonly PoolEntry[],
    workers: readonly LeasedWorker[],
    now: number,
  ): Hopeless[] {
    const places = countPlaces(waiting, workers);
    if (places === 0) return [];
    const hopeless: PoolEntry[] = [];
    let aheadMs = this.runningMs(workers, now);
    for (const entry of waiting) {
      const endsAt = now + aheadMs / places + this.times.restMs(entry);
      if (entry.isPending && endsAt > entry.usefulUntil) hopeless.push(entry);
      else aheadMs += this.times.workMs(entry);
    }
    const clearInMs = aheadMs / places;
    return hopeless.map(entry => ({entry, clearInMs}));
  }

  /** Expected rest of what runs, summed over the tasks. */
  private runningMs(workers: readonly LeasedWorker[], now: number): number {
    let sum = 0;
    for (const worker of workers) {
      for (const {sentAt, expectedMs} of worker.runs.values()) {
        sum += Math.max(0, sentAt + expectedMs - now);
      }
    }
    return sum;
  }
}

function isServing({report, isSilent}: LeasedWorker, service: string): boolean {
  return report.service === service && !report.isDraining && !isSilent;
}

/** Tasks of the waiting jobs' mean demand that fit on the workers. */
function countPlaces(
  waiting: readonly PoolEntry[],
  workers: readonly LeasedWorker[],
): number {
  let cpu = 0;
  let tasks = 0;
  for (const {job} of waiting) {
    for (const {count, demand} of job.steps) {
      cpu += count * demand.cpu;
      tasks += count;
    }
  }
  if (cpu === 0) return 0;
  const mean = cpu / tasks;
  return workers.reduce(
    (sum, {report}) => sum + Math.floor(report.capacity.cpu / mean),
    0,
  );
}
