/** Time in which the weight of earlier demand decays to 1/e. */
const TIME_CONSTANT_MS = 5_000;
/** Mean deviations above the mean that are included in the expectation. */
const DEVIATIONS = 2;

/** Estimates how many slots a class usually needs, including those held. */
export class DemandEstimator {
  private mean = 0;
  private deviation = 0;
  private last: number | undefined;
  private lastDemand = 0;

  /** Expected demand: the mean plus an allowance for its variation. */
  get expectedSlots(): number {
    return this.mean + DEVIATIONS * this.deviation;
  }

  /** Records the demand from `now` on; averages are weighted by time. */
  record(demand: number, now: number): void {
    const elapsed = this.last === undefined ? 0 : now - this.last;
    this.last = now;
    if (elapsed > 0) {
      const weight = 1 - Math.exp(-elapsed / TIME_CONSTANT_MS);
      const distance = this.lastDemand - this.mean;
      this.mean += weight * distance;
      this.deviation += weight * (Math.abs(distance) - this.deviation);
    }
    this.lastDemand = demand;
  }
}
