/** Retains results of some workers that have left, also in small fleets. */
const PRUNE_ALLOWANCE = 64;

/**
 * Counts the workers on which the last task of a class failed. It counts
 * workers rather than tasks, because a worker that fails every task ends many
 * of them and would dominate the failure rate of the class.
 */
export class ClassFailures {
  /** Whether the last task failed, by worker. */
  private readonly last = new Map<string, boolean>();
  private failing = 0;

  record(worker: string, isFailure: boolean, fleetSize: number): void {
    const before = this.last.get(worker);
    if (before === isFailure) return;
    if (this.last.size > 2 * fleetSize + PRUNE_ALLOWANCE) this.clear();
    else if (before) this.failing -= 1;
    this.last.set(worker, isFailure);
    if (isFailure) this.failing += 1;
  }

  /** Share of the other workers on which the last task of the class failed. */
  shareOfOthers(worker: string): number {
    const own = this.last.get(worker);
    const others = this.last.size - (own === undefined ? 0 : 1);
    if (others === 0) return 0;
    return (this.failing - (own ? 1 : 0)) / others;
  }

  private clear(): void {
    this.last.clear();
    this.failing = 0;
  }
}
