import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolObserver} from '../pool_observer.js';
import type {WorkerReport} from '../registry/worker_report.js';

/** Weight of the latest run in the failure rate of a worker. */
const WEIGHT = 0.25;
/**
 * Failure rates above which a worker is at level 1, 2 and 3. One failure among
 * successes stays below the first, three in a row exceed the last.
 */
const RATES = [0.3, 0.4, 0.45];
const ONE_RUN_LEVEL = 2;
const PAUSE_LEVEL = 3;
/** Time without starts at the last level, after which one task is tried. */
const PAUSE_MS = 3_000;
/** Successful runs in a row that lower the level by one. */
const RUNS_PER_STEP = 3;
/** Share of its CPU that a worker at level 1 may have in use before a start. */
const HALF = 0.5;
/** Cost of each level in the choice of a worker, in run times. */
const LEVEL_COST = 0.5;
/** Workers of a rack or zone from which they can be said to fail together. */
const MIN_GROUP = 4;
/** Share of such workers above which none of them is given up. */
const COMMON_SHARE = 0.5;

interface HealthRecord {
  readonly groups: readonly string[];
  failureRate: number;
  successes: number;
  level: number;
  pausedUntil: number;
}

interface Group {
  members: number;
  /** Members at a level at which they get one run at a time, or none. */
  bad: number;
}

/**
 * Takes load from workers that fail runs, in steps, and gives it back in steps.
 * Workers of one rack or zone that fail together keep half of their load: the
 * cause is then not the single worker, and the others could not take it all.
 */
export class WorkerHealth {
  private readonly records = new Map<string, HealthRecord>();
  private readonly groups = new Map<string, Group>();

  constructor(private readonly observer: PoolObserver) {}

  recordEnd(report: WorkerReport, hasFailed: boolean, now: number): void {
    const record = this.recordOf(report);
    const failure = hasFailed ? 1 : 0;
    record.failureRate += WEIGHT * (failure - record.failureRate);
    if (hasFailed) {
      record.successes = 0;
      const level = RATES.filter(rate => record.failureRate > rate).length;
      this.setLevel(report.id, record, Math.max(level, record.level));
      if (record.level === PAUSE_LEVEL) record.pausedUntil = now + PAUSE_MS;
      return;
    }
    record.successes += 1;
    if (record.level === 0 || record.successes < RUNS_PER_STEP) return;
    record.successes = 0;
    this.setLevel(report.id, record, record.level - 1);
  }

  /** Whether another start is allowed on the worker. */
  allows({report, runs, freeCapacity}: LeasedWorker, now: number): boolean {
    const record = this.records.get(report.id);
    if (!record || record.level === 0) return true;
    const level = this.effectiveLevel(record);
    if (level < ONE_RUN_LEVEL) {
      const used = report.capacity.cpu - freeCapacity.cpu;
      return used < HALF * report.capacity.cpu;
    }
    if (runs.size > 0) return false;
    return level < PAUSE_LEVEL || now >= record.pausedUntil;
  }

  /** Cost of a start on the worker, in run times. */
  costOf(workerId: string): number {
    const record = this.records.get(workerId);
    return record ? LEVEL_COST * this.effectiveLevel(record) : 0;
  }

  remove(workerId: string): void {
    const record = this.records.get(workerId);
    if (!record) return;
    this.records.delete(workerId);
    const isBad = record.level >= ONE_RUN_LEVEL;
    for (const name of record.groups) {
      const group = this.groups.get(name)!;
      group.members -= 1;
      if (isBad) group.bad -= 1;
      if (group.members === 0) this.groups.delete(name);
    }
  }

  private effectiveLevel({level, groups}: HealthRecord): number {
    if (level < ONE_RUN_LEVEL) return level;
    const isCommon = groups.some(name => {
      const {members, bad} = this.groups.get(name)!;
      return members >= MIN_GROUP && bad > COMMON_SHARE * members;
    });
    return isCommon ? 1 : level;
  }

  private setLevel(worker: string, record: HealthRecord, level: number): void {
    if (level === record.level) return;
    const wasBad = record.level >= ONE_RUN_LEVEL;
    const isBad = level >= ONE_RUN_LEVEL;
    record.level = level;
    if (wasBad !== isBad) {
      for (const name of record.groups) {
        this.groups.get(name)!.bad += isBad ? 1 : -1;
      }
    }
    const rate = Math.round(record.failureRate * 100) / 100;
    const fields = {worker, level, failure_rate: rate};
    this.observer.recordStateChange('worker_health', fields);
  }

  private recordOf({id, zone, labels}: WorkerReport): HealthRecord {
    const known = this.records.get(id);
    if (known) return known;
    const groups = [`zone ${zone}`, ...labels.map(label => `label ${label}`)];
    for (const name of groups) {
      const group = this.groups.get(name) ?? {members: 0, bad: 0};
      group.members += 1;
      this.groups.set(name, group);
    }
    const record = {
      groups,
      failureRate: 0,
      successes: 0,
      level: 0,
      pausedUntil: 0,
    };
    this.records.set(id, record);
    return record;
  }
}
