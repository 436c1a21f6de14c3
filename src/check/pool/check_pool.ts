import * as fc from 'fast-check';
import {PoolRun} from './pool_run.js';
import type {PoolStep} from './pool_step.js';
import {poolStepsArbitrary} from './pool_steps_arbitrary.js';

interface PoolReport {
  readonly runs: number;
  readonly starts: number;
  /** Crashes of workers, counted for each task that they ran. */
  readonly crashes: number;
  /** Jobs sent again shortly after they had started. */
  readonly resubmissions: number;
  readonly counterexample:
    | {
        readonly steps: readonly PoolStep[];
        readonly violations: readonly string[];
        readonly path: string;
      }
    | undefined;
}

/** Generates histories of the pool and shrinks the first one with a violation. */
export async function checkPool(seed: number, numRuns: number) {
  let [runs, starts, crashes, resubmissions] = [0, 0, 0, 0];
  const property = fc.asyncProperty(poolStepsArbitrary, async steps => {
    const run = new PoolRun();
    await run.run(steps);
    runs += 1;
    starts += run.starts.length;
    crashes += run.crashes;
    resubmissions += run.resubmissions;
    return run.violations.length === 0;
  });
  const details = await fc.check(property, {seed, numRuns});
  const [steps] = details.counterexample ?? [];
  const report = {
    runs,
    starts,
    crashes,
    resubmissions,
    counterexample: undefined,
  };
  if (!steps) return report satisfies PoolReport;
  const run = new PoolRun();
  await run.run(steps);
  const path = details.counterexamplePath ?? '';
  const {violations} = run;
  return {...report, counterexample: {steps, violations, path}} as PoolReport;
}
