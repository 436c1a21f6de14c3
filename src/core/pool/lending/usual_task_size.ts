/** Number of recent tasks that the size is taken from. */
const SAMPLES = 128;
/** Samples after which the size is computed again. */
const REFRESH_SAMPLES = 16;
/** Samples taken of one job, so that wide jobs do not fill the window. */
const MAX_SAMPLES_PER_JOB = 4;
/**
 * Share of the tasks that are at most this large. Above one half, because room
 * that is counted in too small tasks holds fewer tasks than offered.
 */
const QUANTILE = 0.75;

/** CPU demand of the tasks that were submitted recently. */
export class UsualTaskSize {
  private readonly samples: number[] = [];
  private at = 0;
  private sinceRefresh = 0;
  private size = 0;

  /** CPU of a usual task; 0 before the first one. */
  get cpu(): number {
    return this.size;
  }

  record(cpu: number, tasks: number): void {
    const count = Math.min(tasks, MAX_SAMPLES_PER_JOB);
    for (let n = 0; n < count; n += 1) {
      this.samples[this.at] = cpu;
      this.at = (this.at + 1) % SAMPLES;
    }
    this.sinceRefresh += count;
    if (this.size > 0 && this.sinceRefresh < REFRESH_SAMPLES) return;
    this.sinceRefresh = 0;
    const sorted = [...this.samples].sort((a, b) => a - b);
    this.size = sorted[Math.floor(QUANTILE * (sorted.length - 1))]!;
  }
}
