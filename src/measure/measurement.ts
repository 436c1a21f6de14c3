import type {Deployment} from './workload/deployment.js';

/** Options of the command line. */
interface MeasureOptions {
  /** First of the consecutive seeds of each figure. */
  readonly seed: number;
  /** Number of seeds per figure. */
  readonly seeds: number;
  readonly deployments: readonly Deployment[];
}

/** Measurement of one entry of the goals table. */
export abstract class Measurement {
  abstract readonly name: string;
  abstract readonly description: string;

  /**
   * Returns a JSON-serialisable report in which each figure has `ours`,
   * `baseline` and `ratio`.
   */
  abstract run(opts: MeasureOptions): Promise<object>;

  /** Returns the seeds of one figure. */
  protected seedsOf({seed, seeds}: MeasureOptions): number[] {
    return Array.from({length: seeds}, (_, at) => seed + at);
  }
}
