/** Smallest width of a step. */
const MIN_STEP_MS = 20;
/** Steps into which a target is divided; more cost more at each admission. */
const STEPS_PER_TARGET = 64;

/** Waiting tasks of a class by the time at which their job is due. */
export class DueCounts {
  private readonly stepMs: number;
  private readonly counts = new Map<number, number>();

  constructor(targetMs: number) {
    this.stepMs = Math.max(MIN_STEP_MS, targetMs / STEPS_PER_TARGET);
  }

  add(due: number, change: number): void {
    const step = Math.floor(due / this.stepMs);
    const count = (this.counts.get(step) ?? 0) + change;
    if (count > 0) this.counts.set(step, count);
    else this.counts.delete(step);
  }

  /** Waiting tasks that are due by `due`, within one step. */
  dueBy(due: number): number {
    const last = Math.floor(due / this.stepMs);
    let sum = 0;
    for (const [step, count] of this.counts) if (step <= last) sum += count;
    return sum;
  }
}
