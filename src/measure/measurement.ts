import type {Deployment} from './workload/deployment.js';

/** What the command line asks of a measurement. */
interface MeasureOptions {
  /** First of the seeds; each figure uses this one and those that follow. */
  readonly seed: number;
  /** Seeds of each figure. */
  readonly seeds: number;
  readonly deployments: readonly Deployment[];
}

/** One measurement of the goals table. */
export abstract class Measurement {
  abstract readonly name: string;
  abstract readonly description: string;

  /** Returns plain data with each figure as ours, baseline and ratio. */
  abstract run(opts: MeasureOptions): Promise<object>;

  /** The seeds of one figure. */
  protected seedsOf({seed, seeds}: MeasureOptions): number[] {
    return Array.from({length: seeds}, (_, at) => seed + at);
  }
}
