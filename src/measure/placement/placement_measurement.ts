import {Measurement} from '../measurement.js';
import {FLEET_FAULTS} from './fleet_faults.js';
import {FleetRun} from './fleet_run.js';
import {startCost} from './start_cost.js';
import {FLEET_WORKLOADS} from './fleet_workloads.js';

const WORKERS = 245;
/** Fleets at which the processor time of a start is measured. */
const FLEET_SIZES = [30, 100, 300, 1_000];

/** Measures the share of jobs on time with slow, failing and hanging workers. */
export class PlacementMeasurement extends Measurement {
  override readonly name = 'placement';
  override readonly description =
    'jobs on time with workers of unequal speed, slow workers and long tasks';

  override async run(opts: Parameters<Measurement['run']>[0]): Promise<object> {
    const figures: Record<string, object> = {};
    for (const workload of FLEET_WORKLOADS) {
      for (const fault of FLEET_FAULTS) {
        const runs = [];
        for (const seed of this.seedsOf(opts)) {
          const run = new FleetRun({workload, fault, seed, workers: WORKERS});
          runs.push(await run.run());
        }
        figures[`${workload.name} ${fault.name}`] = meanOf(runs);
      }
    }
    const startUs: Record<string, number> = {};
    for (const workers of FLEET_SIZES) {
      startUs[workers] = Math.round((await startCost(workers)) * 10) / 10;
    }
    return {figures, start_us_by_workers: startUs};
  }
}

function meanOf(runs: ReadonlyArray<object>): object {
  const names = Object.keys(runs[0] ?? {});
  const valueOf = (run: object, name: string) =>
    (run as Readonly<Record<string, number>>)[name] ?? 0;
  return Object.fromEntries(
    names.map(name => {
      const sum = runs.reduce((total, run) => total + valueOf(run, name), 0);
      return [name, Math.round((sum / runs.length) * 10_000) / 10_000];
    }),
  );
}
