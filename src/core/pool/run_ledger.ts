import {Resources} from './resources.js';
import {Run} from './run.js';

const NOTHING: Resources = {cpu: 0, memoryMb: 0, accelerators: 0};

/** What may run on one worker, and the room that it takes. */
export class RunLedger {
  /** Runs that may hold room, by task. */
  readonly runs = new Map<string, Run>();
  /** Runs that an earlier lead began, by task; the values are run numbers. */
  readonly foreign = new Map<string, number>();
  private sum = NOTHING;
  private listedSince = Number.POSITIVE_INFINITY;

  /** Resources of all runs. */
  get used(): Resources {
    return this.sum;
  }

  /** Since when foreign runs have been listed without a break. */
  get foreignSince(): number {
    return this.foreign.size > 0 ? this.listedSince : Number.POSITIVE_INFINITY;
  }

  get isEmpty(): boolean {
    return this.runs.size === 0 && this.foreign.size === 0;
  }

  add(run: Run): void {
    this.foreign.delete(run.task);
    this.runs.set(run.task, run);
    this.sum = Resources.plus(this.sum, run.demand);
  }

  remove(run: Run): void {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    this.sum = Resources.minus(this.sum, run.demand);
  }

  /** Takes the worker's list of what it runs, as task and run number. */
  noteListed(listed: ReadonlyMap<string, number>, now: number): void {
    const before = this.foreignSince;
    this.foreign.clear();
    for (const [task, number] of listed) {
      const known = this.runs.get(task);
      if (!known || known.number < number) this.foreign.set(task, number);
    }
    this.listedSince = Math.min(before, now);
  }

  /** Makes runs of all foreign ones; their room is not known. */
  takeForeign(now: number): Run[] {
    return [...this.foreign].map(([task, number]) => {
      const run = Run.listed(task, number, NOTHING, now);
      this.add(run);
      return run;
    });
  }
}
