import type {DemandMix} from './demand_mix.js';

/** Cost of a task that shares a worker with one that may crash it. */
const CRASH_RISK_FACTOR = 4;
/** Weight of the room that other tasks lose. */
const FIT_WEIGHT = 0.2;
/** Cost of each run on a worker: what is lost with it, and shared resources. */
const SPREAD_WEIGHT = 0.02;

interface PlacementChoice {
  /** Expected run time there, relative to a normal worker. */
  readonly slowness: number;
  /** Slowdown by the distance to the data. */
  readonly distanceFactor: number;
  readonly isRisky: boolean;
  readonly healthCost: number;
  readonly runs: number;
  readonly freeCpu: number;
  readonly cpu: number;
}

/**
 * Cost of a start on a worker, in run times of the task. Speed and distance are
 * what the task itself pays, the others what the tasks beside and after it pay.
 */
export class PlacementCost {
  private lastFreeCpu = 0;
  private lastCpu = 0;
  private lastFit = 0;

  constructor(private readonly mix: DemandMix) {}

  /** Lower bound of the cost, from what does not depend on the task. */
  atLeast(
    {
      slowness,
      healthCost,
      freeCpu,
    }: Pick<PlacementChoice, 'slowness' | 'healthCost' | 'freeCpu'>,
    cpu: number,
  ): number {
    return slowness + healthCost + this.fit(freeCpu, cpu);
  }

  of(choice: PlacementChoice): number {
    const {slowness, distanceFactor, isRisky, healthCost, runs} = choice;
    const risk = isRisky ? CRASH_RISK_FACTOR : 1;
    const duration = slowness * distanceFactor * risk;
    const fit = this.fit(choice.freeCpu, choice.cpu);
    const spread = SPREAD_WEIGHT * runs;
    return duration + fit + spread + healthCost;
  }

  /** Forgets the cost of the last room; the mix of tasks has changed. */
  reset(): void {
    this.lastCpu = 0;
  }

  /** Cost of the room that other tasks lose; neighbours in the index agree. */
  private fit(freeCpu: number, cpu: number): number {
    if (freeCpu !== this.lastFreeCpu || cpu !== this.lastCpu) {
      this.lastFreeCpu = freeCpu;
      this.lastCpu = cpu;
      this.lastFit = FIT_WEIGHT * this.mix.lostRoom(freeCpu, cpu);
    }
    return this.lastFit;
  }
}
