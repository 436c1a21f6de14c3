import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {Measurement} from '../measurement.js';
import {drawZoneJobs} from './draw_zone_jobs.js';
import {measureLoss} from './measure_loss.js';
import {measureStartCost} from './measure_start_cost.js';
import {summarizeOutcomes} from './summarize_outcomes.js';
import {ZonePools} from './zone_pools.js';
import {ZONE_WORKLOADS} from './zone_workloads.js';

const WARM_UP_MS = 2_000;
/** One swing of the load. */
const RUN_MS = WARM_UP_MS + 13_000;
/** Time for the answers to the last jobs. */
const REST_MS = 2_000;
const LAYOUTS = ['one leader', 'per zone', 'per zone, lending'] as const;
/** Factors of the rates of section 0, and of zone 0 in its bursts. */
const LOADS = [
  {name: 'usual load', load: 1, burst: 1},
  {name: 'load x1.25', load: 1.25, burst: 1},
  {name: 'bursts x2 in one zone', load: 1, burst: 2},
];

/** A dispatcher per zone, with and without lent capacity, against one leader. */
export class ZonesMeasurement extends Measurement {
  readonly name = 'zones';
  readonly description =
    'jobs on time, loss and cost of a start, one leader against one per zone';

  override async run(
    opts: Parameters<Measurement['run']>[0],
  ): Promise<{results: object}> {
    const onTime: Record<string, object> = {};
    for (const workload of ZONE_WORKLOADS) {
      for (const {name: loadName, load, burst} of LOADS) {
        for (const layout of LAYOUTS) {
          const runs = [];
          for (const seed of this.seedsOf(opts)) {
            const random = new SeededRandom(seed);
            const jobs = drawZoneJobs(
              workload,
              {toMs: RUN_MS, load, burst},
              random,
            );
            const pools = new ZonePools(workload, layout);
            const outcomes = await pools.run(jobs, RUN_MS + REST_MS);
            const {moves, lentRefusals} = pools;
            const counted = outcomes.filter(o => o.job.atMs >= WARM_UP_MS);
            runs.push({outcomes: counted, moves, lentRefusals});
          }
          const name = `${workload.name}, ${loadName}, ${layout}`;
          onTime[name] = summarizeOutcomes(runs);
        }
      }
    }
    const withoutServiceMs = await measureLoss(this.seedsOf(opts));
    const microsecondsPerStart = await measureStartCost();
    return {results: {onTime, withoutServiceMs, microsecondsPerStart}};
  }
}
