const MIN_PRUNE = 64;

/**
 * On how many workers the last task of a class failed. Workers count, not
 * tasks: one that fails everything ends many tasks and would look typical.
 */
export class ClassFailures {
  private readonly last = new Map<string, boolean>();
  private failing = 0;

  record(worker: string, isFailure: boolean, fleetSize: number): void {
    const before = this.last.get(worker);
    if (before === isFailure) return;
    if (this.last.size > 2 * fleetSize + MIN_PRUNE) this.clear();
    else if (before) this.failing -= 1;
    this.last.set(worker, isFailure);
    if (isFailure) this.failing += 1;
  }

  /** Share of the other workers on which the class's last task failed. */
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
