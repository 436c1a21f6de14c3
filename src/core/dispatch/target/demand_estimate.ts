/** Time over which earlier demand loses two thirds of its weight. */
const MEMORY_MS = 5_000;
/** Deviations above the mean that still count as expected. */
const DEVIATIONS = 2;

/** Learns how many slots a class usually wants, in use ones included. */
export class DemandEstimate {
  private mean = 0;
  private deviation = 0;
  private last: number | undefined;
  private lastDemand = 0;

  /** Slots to expect a demand for. */
  get slots(): number {
    return this.mean + DEVIATIONS * this.deviation;
  }

  /** Notes the demand from now on; the time since the last call counts. */
  note(demand: number, now: number): void {
    const elapsed = this.last === undefined ? 0 : now - this.last;
    this.last = now;
    if (elapsed > 0) {
      const weight = 1 - Math.exp(-elapsed / MEMORY_MS);
      const distance = this.lastDemand - this.mean;
      this.mean += weight * distance;
      this.deviation += weight * (Math.abs(distance) - this.deviation);
    }
    this.lastDemand = demand;
  }
}
