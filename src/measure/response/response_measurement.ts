import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {Measurement} from '../measurement.js';
import type {Deployment} from '../workload/deployment.js';
import {Figure} from '../workload/figure.js';
import type {JobResult} from '../workload/job_result.js';
import {makeTrace} from '../workload/make_trace.js';
import {MeasureBench} from '../workload/measure_bench.js';
import {POLICIES} from '../workload/policies.js';
import {quantile} from '../workload/quantile.js';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {TaskMix} from '../workload/task_mix.js';

const LOADS = [0.8, 0.95];
const RUN_MS = 60_000;
/** Jobs that arrive earlier only fill the queue and are not counted. */
const WARM_UP_MS = 10_000;
/** One-way delay between a dispatcher and the workers of its own zone. */
const LOCAL_DELAY_MS = 0.25;
/** Targets exceed the longest task of 5 s; a lower target could not be met. */
const CLASSES = [
  DispatchBench.classOf('interactive', {target_ms: 6_000}),
  DispatchBench.classOf('batch', {target_ms: 30_000}),
];

type Layout = 'pool' | 'zones';

interface Run {
  readonly results: readonly JobResult[];
}

/**
 * Compares response times with ideal ones, for a shared pool and for one queue
 * per zone.
 */
export class ResponseMeasurement extends Measurement {
  override readonly name = 'response';
  override readonly description = 'response time / ideal at 80% and 95% load';

  override async run(opts: Parameters<Measurement['run']>[0]): Promise<object> {
    const figures: Record<string, object> = {};
    for (const deployment of opts.deployments) {
      for (const layout of ['pool', 'zones'] as const) {
        for (const load of LOADS) {
          const name = `${deployment.name} ${layout} ${100 * load}%`;
          const runs = POLICIES.map(policy => ({
            results: this.seedsOf(opts).flatMap(seed =>
              runLayout(deployment, layout, load, seed, policy),
            ),
          }));
          figures[name] = figuresOf(runs[0]!, runs[1]!);
        }
      }
    }
    return {figures};
  }
}

function runLayout(
  deployment: Deployment,
  layout: Layout,
  load: number,
  seed: number,
  policy: (typeof POLICIES)[number],
): JobResult[] {
  const zones = layout === 'pool' ? 1 : deployment.zones;
  const {workers} = deployment;
  const results: JobResult[] = [];
  for (let zone = 0; zone < zones; zone += 1) {
    const count =
      Math.floor(workers / zones) + (zone < workers % zones ? 1 : 0);
    const slots = count * deployment.slots * load;
    const random = new SeededRandom(1_000 * seed + zone);
    const trace = makeTrace(
      CLASSES.map(({name}) => ({
        className: name,
        mix: TaskMix.usual,
        slots: slots / CLASSES.length,
        toMs: RUN_MS,
      })),
      random,
    );
    const bench = new MeasureBench({
      ...deployment,
      workers: count,
      workerDelayMs:
        layout === 'pool' ? deployment.zoneDelayMs : LOCAL_DELAY_MS,
      classes: CLASSES,
      policy: policy.create(seed),
    });
    results.push(...bench.run(trace));
  }
  return results.filter(({job}) => job.atMs >= WARM_UP_MS);
}

function figuresOf(ours: Run, baseline: Run): object {
  const figures: Record<string, object> = {};
  const names = ['all', ...CLASSES.map(({name}) => name)];
  for (const name of names) {
    const [oursSummary, baselineSummary] = [ours, baseline].map(run =>
      summary(
        run.results.filter(r => name === 'all' || r.job.className === name),
      ),
    );
    figures[name] = Object.fromEntries(
      Object.entries(oursSummary!).map(([figure, value]) => [
        figure,
        new Figure(value, baselineSummary![figure]!),
      ]),
    );
  }
  return figures;
}

function summary(results: readonly JobResult[]): Record<string, number> {
  const ratios = Float64Array.from(
    results,
    ({responseMs, idealMs}) => responseMs / idealMs,
  ).sort();
  // Jobs with more tasks than slots exceed the ideal time under any policy, so
  // small jobs are also reported separately.
  const small = Float64Array.from(
    results.filter(({job}) => job.taskMs.length <= SMALL_JOB_TASKS),
    ({responseMs, idealMs}) => responseMs / idealMs,
  ).sort();
  return {
    p50: quantile(ratios, 0.5),
    p90: quantile(ratios, 0.9),
    p99: quantile(ratios, 0.99),
    p99_small_jobs: quantile(small, 0.99),
    in_target: share(results, isInTarget),
    refused_once: share(results, ({refusals}) => refusals > 0),
    unanswered: share(results, ({status}) => status !== 'complete'),
    jobs: results.length,
  };
}

const SMALL_JOB_TASKS = 20;

function isInTarget({job, responseMs}: JobResult): boolean {
  const target = CLASSES.find(({name}) => name === job.className)!.target_ms;
  return responseMs <= target;
}

function share(
  results: readonly JobResult[],
  test: (result: JobResult) => boolean,
): number {
  return results.filter(test).length / Math.max(1, results.length);
}
