import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {Measurement} from '../measurement.js';
import type {Deployment} from '../workload/deployment.js';
import {Figure} from '../workload/figure.js';
import type {JobResult} from '../workload/job_result.js';
import {makeTrace} from '../workload/make_trace.js';
import {MeasureBench} from '../workload/measure_bench.js';
import {POLICIES} from '../workload/policies.js';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {TaskMix} from '../workload/task_mix.js';

/** Load of each class outside floods, as a share of the slots. */
const LOAD_PER_CLASS = 0.25;
const FLOOD_FACTOR = 20;
const FIRST_FLOOD_MS = [10_000, 20_000] as const;
const SECOND_FLOOD_MS = [25_000, 35_000] as const;
const RUN_MS = 50_000;
/** Time after a flood in which a retry storm would be visible. */
const AFTER_MS = 15_000;

const WORKLOADS = [
  {
    config: DispatchBench.classOf('urgent', {target_ms: 1_000}),
    mix: TaskMix.of([1, 10], [50, 200]),
  },
  {
    config: DispatchBench.classOf('normal', {target_ms: 6_000}),
    mix: TaskMix.of([1, 40], [50, 1_000]),
  },
  {
    config: DispatchBench.classOf('bulk', {target_ms: 30_000}),
    mix: TaskMix.of([1, 40], [2_000, 5_000]),
  },
];

interface Flood {
  readonly className: string;
  readonly time: readonly [number, number];
}

/**
 * Retries of a flood continue after it and affect the next one, so each class
 * also floods in a scenario of its own.
 */
const SCENARIOS: Readonly<Record<string, readonly Flood[]>> = {
  least_urgent: [{className: 'bulk', time: FIRST_FLOOD_MS}],
  most_urgent: [{className: 'urgent', time: FIRST_FLOOD_MS}],
  least_then_most_urgent: [
    {className: 'bulk', time: FIRST_FLOOD_MS},
    {className: 'urgent', time: SECOND_FLOOD_MS},
  ],
};

/**
 * Measures how many jobs of the other classes still meet their target while one
 * class floods.
 */
export class FloodMeasurement extends Measurement {
  override readonly name = 'flood';
  override readonly description =
    'jobs of other classes that meet their target during a 20x flood';

  override async run(opts: Parameters<Measurement['run']>[0]): Promise<object> {
    const figures: Record<string, object> = {};
    for (const deployment of opts.deployments) {
      const withoutFlood = POLICIES.map(policy =>
        this.seedsOf(opts).flatMap(seed =>
          runOnce(deployment, seed, policy, []),
        ),
      );
      for (const [name, floods] of Object.entries(SCENARIOS)) {
        const [ours, baseline] = POLICIES.map((policy, at) =>
          summary(
            withoutFlood[at]!,
            this.seedsOf(opts).flatMap(seed =>
              runOnce(deployment, seed, policy, floods),
            ),
            floods,
          ),
        );
        figures[`${deployment.name} ${name}`] = Object.fromEntries(
          Object.entries(ours!).map(([figure, value]) => [
            figure,
            new Figure(value, baseline![figure]!),
          ]),
        );
      }
    }
    return {figures};
  }
}

function runOnce(
  deployment: Deployment,
  seed: number,
  policy: (typeof POLICIES)[number],
  floods: readonly Flood[],
): JobResult[] {
  const slots = deployment.workers * deployment.slots;
  const regularTrace = makeTrace(
    WORKLOADS.map(({config, mix}) => ({
      className: config.name,
      mix,
      slots: LOAD_PER_CLASS * slots,
      toMs: RUN_MS,
    })),
    new SeededRandom(seed),
  );
  const floodTrace = makeTrace(
    floods.map(({className, time: [fromMs, toMs]}) => ({
      className,
      mix: workloadOf(className).mix,
      slots: (FLOOD_FACTOR - 1) * LOAD_PER_CLASS * slots,
      fromMs,
      toMs,
      isFlood: true,
    })),
    new SeededRandom(seed + 500_000),
  );
  const bench = new MeasureBench({
    ...deployment,
    workerDelayMs: deployment.zoneDelayMs,
    classes: WORKLOADS.map(({config}) => config),
    policy: policy.create(seed),
  });
  return bench.run(
    [...regularTrace, ...floodTrace].sort((a, b) => a.atMs - b.atMs),
  );
}

function summary(
  withoutFlood: readonly JobResult[],
  withFlood: readonly JobResult[],
  floods: readonly Flood[],
): Record<string, number> {
  const figures: Record<string, number> = {};
  const floodedClasses: string[] = [];
  for (const {className, time} of floods) {
    floodedClasses.push(className);
    const prefix = floods.length > 1 ? `${className}_flood_` : '';
    const otherClasses = WORKLOADS.map(({config}) => config.name).filter(
      name => name !== className,
    );
    for (const name of otherClasses) {
      figures[`${prefix}${name}`] =
        countInTarget(withFlood, [name], time) /
        countInTarget(withoutFlood, [name], time);
      figures[`${prefix}${name}_slot_time`] =
        sumSlotTime(withFlood, name, time) /
        sumSlotTime(withoutFlood, name, time);
    }
    // Classes of earlier floods still have a backlog of their own.
    const unfloodedClasses = otherClasses.filter(
      name => !floodedClasses.includes(name),
    );
    figures[`${prefix}others`] =
      countInTarget(withFlood, unfloodedClasses, time) /
      countInTarget(withoutFlood, unfloodedClasses, time);
    const floodJobs = withFlood.filter(
      ({job}) => job.isFlood && job.className === className,
    );
    const target = workloadOf(className).config.target_ms;
    figures[`${prefix}own_unserved`] = share(
      floodJobs,
      ({status}) => status === 'refused',
    );
    figures[`${prefix}own_tries_per_job`] =
      1 +
      floodJobs.reduce((sum, {refusals}) => sum + refusals, 0) /
        floodJobs.length;
    figures[`${prefix}own_in_target_once_admitted`] = share(
      floodJobs.filter(({status}) => status !== 'refused'),
      ({admittedResponseMs}) => admittedResponseMs <= target,
    );
    const next = floods.find(flood => flood.time[0] >= time[1])?.time[0];
    const after = [time[1], next ?? time[1] + AFTER_MS] as const;
    figures[`${prefix}others_after`] =
      countInTarget(withFlood, unfloodedClasses, after) /
      countInTarget(withoutFlood, unfloodedClasses, after);
  }
  return figures;
}

function workloadOf(className: string): (typeof WORKLOADS)[number] {
  return WORKLOADS.find(({config}) => config.name === className)!;
}

/**
 * Counts the jobs outside the flood that arrived in the interval and met their
 * target.
 */
function countInTarget(
  results: readonly JobResult[],
  classNames: readonly string[],
  [from, to]: readonly [number, number],
): number {
  return results.filter(({job, responseMs}) => {
    if (job.isFlood || job.atMs < from || job.atMs >= to) return false;
    if (!classNames.includes(job.className)) return false;
    return responseMs <= workloadOf(job.className).config.target_ms;
  }).length;
}

/**
 * Total run time, in ms, of the jobs of a class that were answered in the
 * interval.
 */
function sumSlotTime(
  results: readonly JobResult[],
  className: string,
  [from, to]: readonly [number, number],
): number {
  let sum = 0;
  for (const {job, responseMs} of results) {
    const at = job.atMs + responseMs;
    if (job.className !== className || at < from || at >= to) continue;
    for (const ms of job.taskMs) sum += ms;
  }
  return sum;
}

function share(
  results: readonly JobResult[],
  test: (result: JobResult) => boolean,
): number {
  return results.filter(test).length / Math.max(1, results.length);
}
