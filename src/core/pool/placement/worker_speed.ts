/** Ended runs from which the usual speed of a worker is taken. */
const USUAL_RUNS = 15;
/** With fewer ended runs, the worker is assumed to be of normal speed. */
const MIN_USUAL_RUNS = 5;
/** Newest runs that show a change of speed; two of them outvote a long task. */
const RECENT_RUNS = 3;
/** Weight of a run that is too long to be a long task of its queue. */
const TELLING_WEIGHT = 3;
/** Runs on either side by which a run is put down to the worker or the task. */
const NEIGHBOURS = 2;
/** Age from which an ended run no longer says how fast the worker is now. */
const RECENT_MS = 10_000;
/** Ratio of recent to usual run times that counts as a change of speed. */
const CHANGE_FACTOR = 1.6;
/** A run is overdue from this multiple of its usual run time on its worker. */
const OVERDUE_FACTOR = 1.5;
/** Time without runs after which a slow worker is tried; doubles each time. */
const PROBE_MS = 250;
/** A task that tries a slow worker is late; shorter waits cost more jobs. */
const MAX_PROBE_MS = 4_000;
/** Slow runs as which a run counts that is too long to be a long task. */
const TELLING_SLOW_RUNS = 4;
const MIN_SLOWNESS = 0.2;
const MAX_SLOWNESS = 20;

/** Run and the ratio of its time, so far or in all, to the usual run time. */
interface TimedRun {
  readonly task: string;
  /** Tasks whose usual run time the ratio relates to, see RunTimes. */
  readonly group: string;
  /** Run time as a multiple of the reference time, see referenceMs. */
  readonly multiple: number;
  readonly ratio: number;
  /** Whether the group has hardly any tasks that take so long. */
  readonly isTelling: boolean;
  /** Whether the run has not ended. */
  readonly isOverdue: boolean;
  readonly at: number;
}

/** Ended run with the slowness that the runs around it show. */
interface Attributed {
  readonly run: TimedRun;
  readonly slowness: number;
}

/**
 * Speed of one worker from the ratios of its run times to the usual ones. A
 * median of many runs gives the usual speed; a median of the newest ones, with
 * overdue runs in progress, shows a change within a few runs. Single long tasks
 * move neither.
 */
export class WorkerSpeed {
  private ended: TimedRun[] = [];
  private overdue: readonly TimedRun[] = [];
  private usualRatio = 1;
  private current = 1;
  /** Slow runs since the last normal one. */
  private slowRuns = 0;
  /** When a run last ended or was stopped. */
  private lastAt = Number.NEGATIVE_INFINITY;
  private validUntil = Number.POSITIVE_INFINITY;

  /** Usual slowness of the worker, without recent changes. */
  get usual(): number {
    return this.usualRatio;
  }

  /**
   * Records an ended run. Returns the one before it whose neighbours have all
   * ended, with their median: a long run among normal ones is a long task.
   */
  record(run: TimedRun): Attributed | undefined {
    this.ended.push(run);
    this.lastAt = run.at;
    if (this.ended.length > USUAL_RUNS) this.ended.shift();
    const ratios = this.ended.map(each => each.ratio);
    const around = ratios.slice(-2 * NEIGHBOURS - 1);
    while (ratios.length < MIN_USUAL_RUNS) ratios.push(1);
    this.usualRatio = medianOf(ratios);
    this.validUntil = run.at;
    if (run.ratio <= this.overdueRatio) this.slowRuns = 0;
    else this.slowRuns += run.isTelling ? TELLING_SLOW_RUNS : 1;
    const middle = this.ended.at(-1 - NEIGHBOURS);
    return middle && {run: middle, slowness: medianOf(around)};
  }

  /** Records that a run was stopped; if it was overdue, like one that ended. */
  recordStopped(run: TimedRun): void {
    if (run.ratio > this.overdueRatio) this.record(run);
    else if (this.slowRuns > 0) this.lastAt = run.at;
  }

  /** From which ratio on a run in progress is overdue. */
  get overdueRatio(): number {
    return OVERDUE_FACTOR * this.usualRatio;
  }

  /** Stores the overdue runs in progress. */
  observe(overdue: readonly TimedRun[], now: number): void {
    if (overdue.length === 0 && this.overdue.length === 0) return;
    this.overdue = overdue;
    this.validUntil = now;
  }

  /** Expected ratio of run times here to the usual ones; 1 is normal. */
  slowness(now: number): number {
    if (now < this.validUntil) return this.current;
    this.current = this.estimate(this.recent(now, RECENT_RUNS));
    // The estimate changes without a run only when a run becomes too old.
    this.validUntil = Number.POSITIVE_INFINITY;
    for (const {at} of this.ended.slice(-RECENT_RUNS)) {
      const oldAt = at + RECENT_MS;
      if (oldAt > now) this.validUntil = Math.min(this.validUntil, oldAt);
    }
    return this.current;
  }

  /**
   * Slowness for a start on the idle worker: one that was slow is tried at once
   * after a normal run, and at growing intervals after slow ones.
   */
  slownessWhenIdle(now: number): number {
    const waitMs = Math.min(MAX_PROBE_MS, PROBE_MS * 2 ** this.slowRuns);
    const mayProbe = this.slowRuns === 0 || now - this.lastAt >= waitMs;
    const slowness = this.slowness(now);
    return mayProbe ? Math.min(slowness, this.usualRatio) : slowness;
  }

  /** Slowness as the runs other than that of `task` show it. */
  slownessWithout(task: string, now: number): number {
    if (!this.overdue.some(run => run.task === task)) return this.slowness(now);
    return this.estimate(this.recent(now, RECENT_RUNS, task));
  }

  /** Newest runs, overdue ones first; without the run of `task`. */
  recent(now: number, count: number, task?: string): readonly TimedRun[] {
    const runs = this.overdue.filter(run => run.task !== task);
    for (let at = this.ended.length - 1; at >= 0; at -= 1) {
      const run = this.ended[at]!;
      if (runs.length >= count || now - run.at >= RECENT_MS) break;
      runs.push(run);
    }
    return runs;
  }

  private estimate(recent: readonly TimedRun[]): number {
    const ratios = recent.flatMap(({ratio, isTelling}) =>
      isTelling ? Array.from({length: TELLING_WEIGHT}, () => ratio) : [ratio],
    );
    const shown = ratios.length > 1 ? medianOf(ratios) : this.usualRatio;
    const change = shown / this.usualRatio;
    const hasChanged = change > CHANGE_FACTOR || change < 1 / CHANGE_FACTOR;
    const slowness = hasChanged ? shown : this.usualRatio;
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
  }
}

/** The lower median, so that one of two values is not enough. */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1]!;
}
