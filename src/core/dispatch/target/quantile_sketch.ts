const MIN_VALUE = 0.5;
/** Each bucket is 10% wider than the one before. */
const GROWTH = 1.1;
/** Covers 0.5 to more than 600,000: 10 minutes in milliseconds. */
const BUCKETS = 150;
const LOG_GROWTH = Math.log(GROWTH);
/** Middle of each bucket; a power for each bucket took most of a lookup. */
const MIDDLES = Float64Array.from(
  {length: BUCKETS},
  (_, at) => MIN_VALUE * GROWTH ** (at + 0.5),
);
/** Total weight at which counts are halved, so that recent values dominate. */
const MAX_WEIGHT = 2_000;

/**
 * Distribution of the recent values of one quantity: a histogram of constant
 * size with logarithmic buckets whose counts decay.
 */
export class QuantileSketch {
  private readonly counts = new Float64Array(BUCKETS);
  /** Weight and sum of the values above each bucket; see `refresh`. */
  private readonly weightAbove = new Float64Array(BUCKETS);
  private readonly sumAbove = new Float64Array(BUCKETS);
  private isStale = false;
  private weight = 0;
  private sum = 0;
  private sumOfSquares = 0;

  /** `defaultValue` is returned until the first value is recorded. */
  constructor(private readonly defaultValue: number) {}

  record(value: number): void {
    const bounded = Math.max(MIN_VALUE, value);
    this.counts[bucketOf(bounded)]! += 1;
    this.weight += 1;
    this.sum += bounded;
    this.sumOfSquares += bounded * bounded;
    this.isStale = true;
    if (this.weight >= MAX_WEIGHT) this.decay();
  }

  /** Total weight of the recorded values after decay. */
  get count(): number {
    return this.weight;
  }

  get isEmpty(): boolean {
    return this.weight === 0;
  }

  get mean(): number {
    return this.weight === 0 ? this.defaultValue : this.sum / this.weight;
  }

  /**
   * Mean residual time of an interval that is in progress at a random time, if
   * the values are lengths of intervals. A few long ones raise it above half
   * the mean.
   */
  get meanResidual(): number {
    if (this.weight === 0) return this.defaultValue;
    return this.sumOfSquares / (2 * Math.max(MIN_VALUE, this.sum));
  }

  /** Value of the quantile `q` (0 to 1), with a precision of 10%. */
  quantile(q: number): number {
    if (this.weight === 0) return this.defaultValue;
    let rest = q * this.weight;
    for (let at = 0; at < BUCKETS; at += 1) {
      rest -= this.counts[at]!;
      if (rest <= 0) return MIDDLES[at]!;
    }
    return MIN_VALUE * GROWTH ** BUCKETS;
  }

  /** Share of the values above `value`, with a precision of 10% of it. */
  shareAbove(value: number): number {
    if (this.weight === 0) return 0;
    this.refresh();
    return this.weightAbove[bucketOf(value)]! / this.weight;
  }

  /** Mean of the values above `value`; `value` if there are none. */
  meanAbove(value: number): number {
    this.refresh();
    const at = bucketOf(value);
    const above = this.weightAbove[at]!;
    return above === 0 ? value : this.sumAbove[at]! / above;
  }

  /** A dispatcher asks for each run in progress, far more often than runs end. */
  private refresh(): void {
    if (!this.isStale) return;
    this.isStale = false;
    let above = 0;
    let sum = 0;
    for (let at = BUCKETS - 1; at >= 0; at -= 1) {
      this.weightAbove[at] = above;
      this.sumAbove[at] = sum;
      above += this.counts[at]!;
      sum += this.counts[at]! * MIDDLES[at]!;
    }
  }

  private decay(): void {
    for (let at = 0; at < BUCKETS; at += 1) this.counts[at]! /= 2;
    this.weight /= 2;
    this.sum /= 2;
    this.sumOfSquares /= 2;
  }
}

function bucketOf(value: number): number {
  const bounded = Math.max(MIN_VALUE, value);
  const at = Math.floor(Math.log(bounded / MIN_VALUE) / LOG_GROWTH);
  return Math.min(BUCKETS - 1, at);
}
