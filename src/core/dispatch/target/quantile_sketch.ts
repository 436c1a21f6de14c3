const MIN_VALUE = 0.5;
/** Each bucket is 10% wider than the one before. */
const GROWTH = 1.1;
/** Covers 0.5 to more than 600,000: 10 minutes in milliseconds. */
const BUCKETS = 150;
const LOG_GROWTH = Math.log(GROWTH);
/** Counts are halved here, so that the last few hundred values decide. */
const MAX_WEIGHT = 2_000;

/**
 * Distribution of the recent values of one quantity: a histogram with
 * logarithmic buckets whose old counts fade. Its size does not depend on the
 * load.
 */
export class QuantileSketch {
  private readonly counts = new Float64Array(BUCKETS);
  private weight = 0;
  private sum = 0;
  private squares = 0;

  /** `assumed` stands for the values until the first one is seen. */
  constructor(private readonly assumed: number) {}

  record(value: number): void {
    const bounded = Math.max(MIN_VALUE, value);
    this.counts[bucketOf(bounded)]! += 1;
    this.weight += 1;
    this.sum += bounded;
    this.squares += bounded * bounded;
    if (this.weight >= MAX_WEIGHT) this.fade();
  }

  /** Values that count, older ones in part. */
  get count(): number {
    return this.weight;
  }

  get isEmpty(): boolean {
    return this.weight === 0;
  }

  get mean(): number {
    return this.weight === 0 ? this.assumed : this.sum / this.weight;
  }

  /**
   * Expected rest of an interval with such lengths that is open at a random
   * moment. A few long ones make it exceed half the mean.
   */
  get meanRest(): number {
    if (this.weight === 0) return this.assumed;
    return this.squares / (2 * Math.max(MIN_VALUE, this.sum));
  }

  /** The value that the share `q` does not exceed, within 10%. */
  quantile(q: number): number {
    if (this.weight === 0) return this.assumed;
    let rest = q * this.weight;
    for (let at = 0; at < BUCKETS; at += 1) {
      rest -= this.counts[at]!;
      if (rest <= 0) return MIN_VALUE * GROWTH ** (at + 0.5);
    }
    return MIN_VALUE * GROWTH ** BUCKETS;
  }

  private fade(): void {
    for (let at = 0; at < BUCKETS; at += 1) this.counts[at]! /= 2;
    this.weight /= 2;
    this.sum /= 2;
    this.squares /= 2;
  }
}

function bucketOf(value: number): number {
  const at = Math.floor(Math.log(value / MIN_VALUE) / LOG_GROWTH);
  return Math.min(BUCKETS - 1, at);
}
