import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {ZonesBench} from '../../../test-support/fakes/zones_bench.js';
import {TargetPolicy} from '../../core/dispatch/target/target_policy.js';
import {Measurement} from '../measurement.js';
import type {Deployment} from '../workload/deployment.js';
import {Figure} from '../workload/figure.js';
import {makeTrace} from '../workload/make_trace.js';
import {quantile} from '../workload/quantile.js';
import {TaskMix} from '../workload/task_mix.js';
import {CompletionTimes} from './completion_times.js';
import {ZoneCaller} from './zone_caller.js';

/** Load of each zone, as a share of its slots. */
const LOADS = {
  'even 80%': [0.8, 0.8, 0.8, 0.8],
  'even 95%': [0.95, 0.95, 0.95, 0.95],
  'one zone at 120%': [1.2, 0.6, 0.6, 0.6],
} as const;
const RUN_MS = 30_000;
const WARM_UP_MS = 5_000;
const DRAIN_MS = 30_000;
const LOCAL_DELAY_MS = 0.25;
const CLASSES = [
  DispatchBench.classOf('interactive', {target_ms: 6_000}),
  DispatchBench.classOf('batch', {target_ms: 30_000}),
];

/** Compares response times with and without slots lent between zones. */
export class OverflowMeasurement extends Measurement {
  override readonly name = 'overflow';
  override readonly description =
    'response time / ideal with and without slots lent between zones';

  override async run(opts: Parameters<Measurement['run']>[0]): Promise<object> {
    const figures: Record<string, object> = {};
    for (const deployment of opts.deployments) {
      for (const [load, shares] of Object.entries(LOADS)) {
        const [withLending, withoutLending] = [[], []] as [number[], number[]];
        for (const seed of this.seedsOf(opts)) {
          withLending.push(...(await runZones(deployment, shares, seed, true)));
          withoutLending.push(
            ...(await runZones(deployment, shares, seed, false)),
          );
        }
        figures[`${deployment.name} ${load}`] = figuresOf(
          withLending,
          withoutLending,
        );
      }
    }
    return {baseline: 'the same policy without lent slots', figures};
  }
}

/**
 * Returns the response time of each job divided by the ideal one; Infinity for
 * jobs without an answer.
 */
async function runZones(
  deployment: Deployment,
  shares: readonly number[],
  seed: number,
  lends: boolean,
): Promise<number[]> {
  const {zones, workers, slots, zoneDelayMs, callerDelayMs} = deployment;
  const names = Array.from({length: zones}, (_, at) => `zone-${at}`);
  const slotsOf = (at: number) =>
    slots * (Math.floor(workers / zones) + (at < workers % zones ? 1 : 0));
  const completions = new CompletionTimes();
  const bench = await ZonesBench.create({
    zones: Object.fromEntries(names.map((name, at) => [name, slotsOf(at)])),
    workerSlots: slots,
    classes: CLASSES,
    newPolicy: (config, zone) =>
      new TargetPolicy({config, zone, random: new SeededRandom(seed)}),
    lends,
    zoneDelayMs,
    workerDelayMs: LOCAL_DELAY_MS,
    observer: completions,
  });
  const callers = names.map((name, at) => {
    const trace = makeTrace(
      CLASSES.map(one => ({
        className: one.name,
        mix: TaskMix.usual,
        slots: (slotsOf(at) * shares[at]!) / CLASSES.length,
        toMs: RUN_MS,
      })),
      new SeededRandom(1_000 * seed + at),
    );
    return new ZoneCaller(bench, name, trace);
  });
  await bench.advance(RUN_MS + DRAIN_MS);
  const delayMs = 2 * (callerDelayMs + LOCAL_DELAY_MS);
  return callers.flatMap(caller =>
    caller.responseRatios(completions, WARM_UP_MS, delayMs, 2 * callerDelayMs),
  );
}

function figuresOf(withLending: number[], withoutLending: number[]): object {
  const [ours, baseline] = [withLending, withoutLending].map(values =>
    Float64Array.from(values).sort(),
  );
  const at = (share: number) =>
    new Figure(quantile(ours!, share), quantile(baseline!, share));
  return {
    p50: at(0.5),
    p90: at(0.9),
    p99: at(0.99),
    mean: new Figure(mean(withLending), mean(withoutLending)),
    unanswered: new Figure(unanswered(withLending), unanswered(withoutLending)),
    jobs: withLending.length,
  };
}

/** Returns the mean over the answered jobs. */
function mean(ratios: readonly number[]): number {
  const finite = ratios.filter(Number.isFinite);
  return finite.reduce((sum, ratio) => sum + ratio, 0) / finite.length;
}

function unanswered(ratios: readonly number[]): number {
  return ratios.filter(ratio => ratio === Infinity).length / ratios.length;
}
