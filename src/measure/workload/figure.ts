/** A figure of our policy beside the baseline's. */
export class Figure {
  readonly ours: number;
  readonly baseline: number;
  /** Ours divided by the baseline's; null when that is 0 or not finite. */
  readonly ratio: number | null;

  constructor(ours: number, baseline: number) {
    this.ours = rounded(ours);
    this.baseline = rounded(baseline);
    const ratio = ours / baseline;
    this.ratio = Number.isFinite(ratio) ? rounded(ratio) : null;
  }
}

const SIGNIFICANT_DIGITS = 4;

function rounded(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
