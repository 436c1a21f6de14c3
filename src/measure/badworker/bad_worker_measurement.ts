import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {Measurement} from '../measurement.js';
import type {Deployment} from '../workload/deployment.js';
import {Figure} from '../workload/figure.js';
import {makeTrace} from '../workload/make_trace.js';
import {MeasureBench} from '../workload/measure_bench.js';
import {POLICIES} from '../workload/policies.js';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {TaskMix} from '../workload/task_mix.js';

const LOAD = 0.8;
const RUN_MS = 70_000;
const FAILURE_START_MS = 10_000;
/** Time in which the dispatcher must detect the failing worker. */
const DETECTION_MS = 1_000;
const CLASSES = [
  DispatchBench.classOf('strict', {target_ms: 6_000}),
  DispatchBench.classOf('repeatable', {target_ms: 6_000, repeatable: true}),
];

interface Counts {
  readonly jobs: number;
  readonly failed: number;
  readonly failedDuringDetection: number;
}

/** Measures the share of failed jobs while one worker fails all its tasks. */
export class BadWorkerMeasurement extends Measurement {
  override readonly name = 'badworker';
  override readonly description =
    'failed jobs while one worker fails all its tasks';

  override async run(opts: Parameters<Measurement['run']>[0]): Promise<object> {
    const figures: Record<string, object> = {};
    for (const deployment of opts.deployments) {
      // With a repeatable class, the dispatcher can probe the failing worker
      // with tasks that may be retried.
      for (const classes of [['strict'], ['strict', 'repeatable']]) {
        const [ours, baseline] = POLICIES.map(policy => {
          const runs = this.seedsOf(opts).map(seed =>
            runOnce(deployment, seed, policy, classes),
          );
          return {
            failed_share: ratio(runs, c => c.failed),
            failed_jobs_in_first_second: ratio(
              runs,
              c => c.failedDuringDetection,
              () => 1,
            ),
          };
        });
        figures[`${deployment.name} ${classes.join('+')}`] = {
          failed_share: new Figure(ours!.failed_share, baseline!.failed_share),
          failed_jobs_in_first_second: new Figure(
            ours!.failed_jobs_in_first_second,
            baseline!.failed_jobs_in_first_second,
          ),
        };
      }
    }
    return {figures};
  }
}

function runOnce(
  deployment: Deployment,
  seed: number,
  policy: (typeof POLICIES)[number],
  classes: readonly string[],
): Counts {
  const slots = LOAD * deployment.workers * deployment.slots;
  const trace = makeTrace(
    classes.map(className => ({
      className,
      mix: TaskMix.usual,
      slots: slots / classes.length,
      toMs: RUN_MS,
    })),
    new SeededRandom(seed),
  );
  const bench = new MeasureBench({
    ...deployment,
    workerDelayMs: deployment.zoneDelayMs,
    classes: CLASSES.filter(({name}) => classes.includes(name)),
    policy: policy.create(seed),
  });
  bench.at(FAILURE_START_MS, () => {
    bench.bench.worker('w7').isFailing = true;
  });
  const results = bench.run(trace);
  const detectionEndMs = FAILURE_START_MS + DETECTION_MS;
  const counted = results.filter(({job}) => job.atMs >= detectionEndMs);
  const duringDetection = results.filter(
    ({job}) => job.atMs >= FAILURE_START_MS && job.atMs < detectionEndMs,
  );
  return {
    jobs: counted.length,
    failed: counted.filter(({status}) => status === 'failed').length,
    failedDuringDetection: duringDetection.filter(
      ({status}) => status === 'failed',
    ).length,
  };
}

function ratio(
  runs: readonly Counts[],
  numerator: (counts: Counts) => number,
  denominator: (counts: Counts) => number = ({jobs}) => jobs,
): number {
  const sum = (part: (counts: Counts) => number) =>
    runs.reduce((total, counts) => total + part(counts), 0);
  return sum(numerator) / Math.max(1, sum(denominator));
}
