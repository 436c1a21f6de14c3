/** Figure of our policy compared with that of the baseline. */
export class Figure {
  readonly ours: number;
  readonly baseline: number;
  /** `ours / baseline`; null if not finite, as for a baseline of 0. */
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
