import * as fc from 'fast-check';
import {ZoneRun} from './zone_run.js';
import type {ZoneStep} from './zone_step.js';
import {zoneStepsArbitrary} from './zone_steps_arbitrary.js';

interface ZoneReport {
  readonly runs: number;
  readonly jobs: number;
  /** Jobs that were moved to other zones. */
  readonly moved: number;
  readonly counterexample:
    | {
        readonly steps: readonly ZoneStep[];
        readonly violations: readonly string[];
        readonly path: string;
        /** What happened to each task of which two runs overlapped. */
        readonly traces: readonly string[][];
      }
    | undefined;
}

/** Generates histories of zones and shrinks the first one with a violation. */
export async function checkZones(
  seed: number,
  numRuns: number,
  mode: 'zones' | 'leader' = 'zones',
): Promise<ZoneReport> {
  let [runs, jobs, moved] = [0, 0, 0];
  const property = fc.asyncProperty(zoneStepsArbitrary[mode], async steps => {
    const run = new ZoneRun(mode);
    await run.run(steps);
    runs += 1;
    jobs += run.submitted;
    moved += run.moved;
    return run.violations.length === 0;
  });
  const details = await fc.check(property, {seed, numRuns});
  const [steps] = details.counterexample ?? [];
  if (!steps) return {runs, jobs, moved, counterexample: undefined};
  const run = new ZoneRun(mode);
  await run.run(steps);
  const path = details.counterexamplePath ?? '';
  const {violations, traces} = run;
  const counterexample = {steps, violations, path, traces};
  return {runs, jobs, moved, counterexample};
}
