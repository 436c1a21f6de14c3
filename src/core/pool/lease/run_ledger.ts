import {JobContact} from '../job/job_contact.js';
import {Resources} from '../registry/resources.js';
import {Run} from './run.js';

const NOTHING: Resources = {cpu: 0, memoryMb: 0, accelerators: 0};
/** Demand of a run whose job is not known. */
const UNKNOWN: Resources = {...NOTHING};

/** Runs that may be active on one worker, and the capacity that they use. */
export class RunLedger {
  /** Runs of this dispatcher that may be active, by task. */
  readonly runs = new Map<string, Run>();
  /** Run numbers of runs that another dispatcher started, by task. */
  readonly inherited = new Map<string, number>();
  /** Runs that are stopped since no job has claimed them, by task. */
  readonly unclaimed = new Map<string, Run>();
  private sum = NOTHING;
  private firstReportedAt = Number.POSITIVE_INFINITY;

  /** Resources of all runs. */
  get used(): Resources {
    return this.sum;
  }

  /** Since when inherited runs have been reported without interruption. */
  get inheritedSince(): number {
    return this.inherited.size > 0
      ? this.firstReportedAt
      : Number.POSITIVE_INFINITY;
  }

  /** Whether a run of a task that may crash the worker is active. */
  get hasSuspect(): boolean {
    for (const run of this.runs.values()) if (run.isSuspect) return true;
    return false;
  }

  /** Whether the capacity that is in use is known. */
  get isAccountedFor(): boolean {
    if (this.inherited.size > 0) return false;
    for (const {demand} of this.runs.values()) {
      if (demand === UNKNOWN) return false;
    }
    return true;
  }

  /**
   * Time of the oldest contact with the entry nodes of all runs. There is none for
   * a run that no job has claimed: its caller may have gone.
   */
  get contactAt(): number {
    if (this.inherited.size > 0) return JobContact.none.contactAt;
    let contactAt = JobContact.permanent.contactAt;
    for (const {job} of this.runs.values()) {
      contactAt = Math.min(contactAt, job.contactAt);
    }
    return contactAt;
  }

  get isEmpty(): boolean {
    return this.runs.size === 0 && this.inherited.size === 0;
  }

  add(run: Run): void {
    this.inherited.delete(run.task);
    this.runs.set(run.task, run);
    this.sum = Resources.plus(this.sum, run.demand);
  }

  remove(run: Run): void {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    if (this.unclaimed.get(run.task) === run) this.unclaimed.delete(run.task);
    this.sum = Resources.minus(this.sum, run.demand);
  }

  /**
   * Updates the inherited runs; `reported` maps tasks to active run numbers.
   * Returns those that were not reported before.
   */
  updateInherited(
    reported: ReadonlyMap<string, number>,
    now: number,
  ): ReadonlyArray<readonly [task: string, run: number]> {
    const before = this.inheritedSince;
    // Called for each reply of a worker, nearly always without inherited runs.
    const earlier =
      this.inherited.size > 0 ? new Map(this.inherited) : undefined;
    this.inherited.clear();
    for (const [task, number] of reported) {
      const known = this.runs.get(task);
      if (!known || known.number < number) this.inherited.set(task, number);
    }
    this.firstReportedAt = Math.min(before, now);
    if (this.inherited.size === 0) return [];
    return [...this.inherited].filter(
      ([task, number]) => earlier?.get(task) !== number,
    );
  }

  /** Adopts all inherited runs; the capacity that they use is unknown. */
  takeInherited(now: number): Run[] {
    return [...this.inherited].map(([task, number]) => {
      const run = Run.adopted(task, number, UNKNOWN, now, JobContact.none);
      this.add(run);
      this.unclaimed.set(task, run);
      return run;
    });
  }
}
