import {Measurement} from '../measurement.js';
import {FLEET_FAULTS} from './fleet_faults.js';
import {FleetRun} from './fleet_run.js';
import {FLEET_WORKLOADS} from './fleet_workloads.js';

const WORKERS = 245;

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
    return {figures};
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
