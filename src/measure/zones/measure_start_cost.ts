import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {drawZoneJobs} from './draw_zone_jobs.js';
import {ZonePools} from './zone_pools.js';
import {ZONE_WORKLOADS} from './zone_workloads.js';

const WORKERS = [30, 100, 300, 1_000];
/** A run takes so long that it has some thousand starts. */
const WORKER_MS = 400_000;
const MIN_RUN_MS = 3_000;
/** Before the first measured run, so that the engine has compiled the code. */
const WARM_UP_MS = 5_000;
/** The lowest of several runs is reported: other processes only add to it. */
const REPETITIONS = 2;
const LAYOUTS = ['one leader', 'per zone', 'per zone, lending'] as const;

/**
 * Processor time per start of the decision core, in microseconds. It includes
 * the simulated workers, which cost the same in all layouts.
 */
export async function measureStartCost(): Promise<object> {
  const [workload] = ZONE_WORKLOADS;
  const figures: Record<string, Record<string, number>> = {};
  for (const layout of LAYOUTS) await run(workload!, layout, 1, WARM_UP_MS);
  for (const layout of LAYOUTS) {
    const ofLayout: Record<string, number> = {};
    for (const workers of WORKERS) {
      const scaled = {...workload!, workers};
      const load = workers / workload!.workers;
      const toMs = Math.max(MIN_RUN_MS, WORKER_MS / workers);
      const costs: number[] = [];
      for (let n = 0; n < REPETITIONS; n += 1) {
        costs.push(await run(scaled, layout, load, toMs));
      }
      ofLayout[workers] = Number(Math.min(...costs).toFixed(1));
    }
    figures[layout] = ofLayout;
  }
  return figures;
}

async function run(
  workload: ConstructorParameters<typeof ZonePools>[0],
  layout: (typeof LAYOUTS)[number],
  load: number,
  toMs: number,
): Promise<number> {
  const jobs = drawZoneJobs(
    workload,
    {toMs, load, burst: 1},
    new SeededRandom(1),
  );
  const pools = new ZonePools(workload, layout);
  const before = process.cpuUsage();
  await pools.run(jobs, toMs);
  const {user, system} = process.cpuUsage(before);
  return (user + system) / pools.fleet.starts;
}
