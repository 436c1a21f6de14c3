/** Time after which an earlier gap counts half. */
const HALF_LIFE_MS = 2_000;
/** Longer gaps, such as one suspension, count as this long. */
const MAX_GAP_MS = 2_000;

/**
 * How long this node's event loop is usually held up: the mean length of the recent
 * gaps between ticks, weighted by their length. Close to the interval of ticks on a
 * machine that has time.
 */
export class TickGaps {
  private sum = 0;
  private sumOfSquares = 0;

  record(gapMs: number): void {
    const kept = 0.5 ** (gapMs / HALF_LIFE_MS);
    const counted = Math.min(gapMs, MAX_GAP_MS);
    this.sum = kept * this.sum + counted;
    this.sumOfSquares = kept * this.sumOfSquares + counted ** 2;
  }

  get meanMs(): number {
    return this.sum > 0 ? this.sumOfSquares / this.sum : 0;
  }
}
