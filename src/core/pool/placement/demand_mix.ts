/** Sizes that are kept; a fleet has few kinds of tasks. */
const MAX_SIZES = 6;
/** Starts after which the older ones count half. */
const HALF_LIFE = 500;

/** Sizes of the tasks that were started recently, in CPU, with their shares. */
export class DemandMix {
  private readonly weights = new Map<number, number>();
  private sum = 0;
  private list: ReadonlyArray<{readonly cpu: number; readonly share: number}> =
    [];
  private starts = 0;

  /** Sizes and shares, at most as old as the last 32 starts. */
  get sizes(): DemandMix['list'] {
    return this.list;
  }

  record(cpu: number): void {
    if (cpu <= 0) return;
    this.weights.set(cpu, (this.weights.get(cpu) ?? 0) + 1);
    this.sum += 1;
    this.starts += 1;
    if (this.starts % HALF_LIFE === 0) this.decay();
    if (this.starts < 32 || this.starts % 32 === 0) this.refresh();
  }

  /**
   * Tasks of the usual sizes for which a worker with this free CPU no longer has
   * room once a task of `cpu` runs there, weighted by their shares.
   */
  lostRoom(freeCpu: number, cpu: number): number {
    let lost = 0;
    for (const size of this.list) {
      const before = Math.floor(freeCpu / size.cpu);
      const after = Math.floor((freeCpu - cpu) / size.cpu);
      lost += size.share * (before - after);
    }
    return lost;
  }

  private decay(): void {
    for (const [cpu, weight] of this.weights) this.weights.set(cpu, weight / 2);
    this.sum /= 2;
  }

  private refresh(): void {
    this.list = [...this.weights]
      .sort(([, a], [, b]) => b - a)
      .slice(0, MAX_SIZES)
      .map(([cpu, weight]) => ({cpu, share: weight / this.sum}));
    if (this.weights.size <= 4 * MAX_SIZES) return;
    const kept = new Set(this.list.map(({cpu}) => cpu));
    for (const [cpu, weight] of this.weights) {
      if (kept.has(cpu)) continue;
      this.weights.delete(cpu);
      this.sum -= weight;
    }
  }
}
