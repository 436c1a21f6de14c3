import {QuantileSketch} from '../../dispatch/target/quantile_sketch.js';

/** Assumed ratio of run time to estimate while there are no samples. */
const ASSUMED_RATIO = 1;
/** Scale of the ratios in the sketch, whose smallest value is 0.5. */
const SCALE = 100;
/** Samples between two computations of the quantiles. */
const REFRESH_SAMPLES = 16;
/** Samples without which long tasks may not have been seen yet. */
const MIN_TELLING_SAMPLES = 200;
/** Share of tasks below which a longer run is put down to its worker. */
const MAX_TELLING_SHARE = 0.002;
/** Share of the samples above which a value is not yet out of range. */
const MIN_SHARE_ABOVE = 0.002;
/** Expected total of a run that has run longer than the samples show. */
const UNKNOWN_GROWTH = 1.5;

/**
 * Ratios of run time to estimate in one queue: as they were on the workers, and
 * without the speed of the workers. Only the former is the measure for the speed
 * of a worker, so that an error of the speeds does not confirm itself.
 */
export class QueueRatios {
  private readonly onWorkers = new QuantileSketch(ASSUMED_RATIO * SCALE);
  private readonly ofTasks = new QuantileSketch(ASSUMED_RATIO * SCALE);
  private typicalRatio = ASSUMED_RATIO;
  private samples = 0;

  /** Records a run as it was on its worker. */
  record(ratio: number): void {
    this.onWorkers.record(ratio * SCALE);
    this.samples += 1;
    const isDue =
      this.samples < REFRESH_SAMPLES || this.samples % REFRESH_SAMPLES === 0;
    if (isDue) this.typicalRatio = this.onWorkers.quantile(0.5) / SCALE;
  }

  /** Records a run without the slowness of its worker. */
  recordTask(ratio: number): void {
    this.ofTasks.record(ratio * SCALE);
  }

  /** Recorded runs, of which old ones count less. */
  get count(): number {
    return this.ofTasks.count;
  }

  /** Median over all workers; long tasks and slow workers do not move it. */
  get typical(): number {
    return this.typicalRatio;
  }

  /** Mean on a worker of normal speed. */
  get mean(): number {
    const {ofTasks, onWorkers} = this;
    return (ofTasks.isEmpty ? onWorkers : ofTasks).mean / SCALE;
  }

  /** Quantile `q` (0 to 1) on a worker of normal speed. */
  quantile(q: number): number {
    return this.ofTasks.quantile(q) / SCALE;
  }

  /** Share of the tasks that take longer than `ratio`. */
  shareAbove(ratio: number): number {
    return this.ofTasks.shareAbove(ratio * SCALE);
  }

  /** Whether hardly any task takes longer than `ratio`. */
  isBeyond(ratio: number): boolean {
    if (this.count < MIN_TELLING_SAMPLES) return false;
    return this.shareAbove(ratio) < MAX_TELLING_SHARE;
  }

  /** Expected ratio of a run that has reached `ratio` already. */
  expectedAfter(ratio: number): number {
    if (ratio < this.typicalRatio) return this.mean;
    if (this.shareAbove(ratio) < MIN_SHARE_ABOVE) return ratio * UNKNOWN_GROWTH;
    return Math.max(ratio, this.ofTasks.meanAbove(ratio * SCALE) / SCALE);
  }
}
