import type {LeasedWorker} from './leased_worker.js';
import type {PoolEntry} from './pool_entry.js';
import {Run} from './run.js';
import {RunEnd} from './run_end.js';
import type {PoolTask} from './pool_task.js';

/** Covers slow workers' clocks and timers that fire late. */
const LEASE_SLACK_MS = 100;
/** Entry nodes hand in their open jobs again within this time. */
const CLAIM_MS = 700;
/** From then on the known workers are all that there are. */
const SETTLED_MS = 4_000;

/**
 * The first seconds of a lead: what earlier leads left on the workers is
 * claimed by its jobs or stopped, and nothing starts while a run of an earlier
 * lead may be unknown.
 */
export class Takeover {
  private readonly ends = new Map<string, RunEnd>();
  private over = false;

  constructor(
    private readonly beganAt: number,
    private readonly leasesMs: number,
    private readonly isBookComplete: boolean,
  ) {}

  /** Whether what nobody claimed has been stopped. */
  get isOver(): boolean {
    return this.over;
  }

  /** Whether every run of earlier leads is known or over. */
  mayStart(workers: readonly LeasedWorker[], now: number): boolean {
    if (this.over) return true;
    if (now - this.beganAt > this.leasesMs + LEASE_SLACK_MS) return true;
    if (!this.isBookComplete) return false;
    return workers.every(w => w.isFenced);
  }

  /** Whether enough time has passed to have heard of all workers. */
  hasSettled(now: number): boolean {
    return now - this.beganAt > SETTLED_MS;
  }

  /** True once, when unclaimed runs are to be stopped. */
  takeEnd(now: number): boolean {
    const endsAt = this.beganAt + Math.max(CLAIM_MS, this.leasesMs);
    if (this.over || now < endsAt + LEASE_SLACK_MS) return false;
    this.over = true;
    this.ends.clear();
    return true;
  }

  /** Keeps the end of a run whose job has not been handed in again yet. */
  noteEnd(task: string, how: RunEnd): void {
    if (!this.over) this.ends.set(task, how);
  }

  /**
   * Gives jobs the runs and ends of their tasks under earlier leads. A job may
   * be handed in before its worker has told what it runs, or after. Returns
   * the jobs of which a task turned out to be done.
   */
  adopt(
    entries: Iterable<PoolEntry>,
    workers: readonly LeasedWorker[],
    now: number,
  ): PoolEntry[] {
    const holders = workers.filter(w => w.foreign.size > 0);
    if (holders.length === 0 && this.ends.size === 0) return [];
    const advanced: PoolEntry[] = [];
    for (const entry of entries) {
      const waiting = entry.tasks.filter(t => t.state === 'waiting');
      for (const task of waiting) this.adoptTask(task, holders, now);
      if (waiting.some(t => t.state !== 'waiting')) advanced.push(entry);
    }
    return advanced;
  }

  private adoptTask(
    task: PoolTask,
    holders: readonly LeasedWorker[],
    now: number,
  ): void {
    if (this.ends.get(task.name) === RunEnd.done) {
      task.state = 'done';
      task.job.hasStarted = true;
      return;
    }
    for (const worker of holders) {
      const number = worker.foreign.get(task.name);
      if (number === undefined) continue;
      task.job.hasStarted = true;
      task.nextRun = Math.max(task.nextRun, number + 1);
      if (!task.run) adoptRun(task, worker, number, now);
    }
  }
}

function adoptRun(
  task: PoolTask,
  worker: LeasedWorker,
  number: number,
  now: number,
): void {
  const {demand} = task.job.job.steps[task.step]!;
  const run = Run.listed(task.name, number, demand, now);
  task.run = run;
  task.worker = worker;
  task.state = 'running';
  worker.adopt(run);
}
