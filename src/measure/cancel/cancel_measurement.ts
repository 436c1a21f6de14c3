import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {Measurement} from '../measurement.js';
import type {Deployment} from '../workload/deployment.js';
import {Figure} from '../workload/figure.js';
import {makeTrace} from '../workload/make_trace.js';
import {MeasureBench} from '../workload/measure_bench.js';
import {POLICIES} from '../workload/policies.js';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {TaskMix} from '../workload/task_mix.js';

const CANCEL_SHARE = 0.7;
/** Interval between waves; all cancels are sent at multiples of it. */
const WAVE_MS = 1_000;
/**
 * Load if no job were cancelled, as a share of the slots. High enough that many
 * tasks are still queued when they are cancelled.
 */
const LOAD = 2;
const RUN_MS = 60_000;
const CLASSES = [DispatchBench.classOf('default', {target_ms: 10_000})];

interface Counts {
  readonly tasks: number;
  readonly starts: number;
  readonly stops: number;
  /** Number of stops of attempts that had been stopped before. */
  readonly repeatedStops: number;
  /** Number of stops of unsent attempts and of starts of cancelled jobs. */
  readonly forQueuedTasks: number;
  /** Number of state queries for attempts of cancelled jobs. */
  readonly queries: number;
  /** Number of messages that only allow workers to drop records; not waste. */
  readonly forgetMessages: number;
  readonly cpuMs: number;
}

/**
 * Measures the messages that waves of cancels cost beyond one stop per running
 * attempt.
 */
export class CancelMeasurement extends Measurement {
  override readonly name = 'cancel';
  override readonly description =
    'wasted messages with 70% of the jobs cancelled in waves';

  override async run(opts: Parameters<Measurement['run']>[0]): Promise<object> {
    const figures: Record<string, object> = {};
    for (const deployment of opts.deployments) {
      const [ours, baseline] = POLICIES.map(policy =>
        summary(
          this.seedsOf(opts).map(seed => runOnce(deployment, seed, policy)),
        ),
      );
      figures[deployment.name] = Object.fromEntries(
        Object.entries(ours!).map(([name, value]) => [
          name,
          new Figure(value, baseline![name]!),
        ]),
      );
    }
    return {figures};
  }
}

function runOnce(
  deployment: Deployment,
  seed: number,
  policy: (typeof POLICIES)[number],
): Counts {
  const random = new SeededRandom(seed);
  const trace = makeTrace(
    [
      {
        className: 'default',
        mix: TaskMix.usual,
        slots: LOAD * deployment.workers * deployment.slots,
        toMs: RUN_MS,
        cancelAt: (atMs, random) =>
          random.next() < CANCEL_SHARE
            ? Math.ceil(atMs / WAVE_MS) * WAVE_MS
            : undefined,
      },
    ],
    random,
  );
  const bench = new MeasureBench({
    ...deployment,
    workerDelayMs: deployment.zoneDelayMs,
    classes: CLASSES,
    policy: policy.create(seed),
  });
  bench.run(trace);
  const {fleet} = bench;
  return {
    tasks: trace.reduce((sum, {taskMs}) => sum + taskMs.length, 0),
    starts: fleet.starts,
    stops: fleet.stopEntries,
    repeatedStops: fleet.repeatedStops,
    forQueuedTasks: fleet.stopsWithoutStart + fleet.startsAfterCancel,
    queries: fleet.queriesAfterCancel,
    forgetMessages: fleet.forgetMessages,
    cpuMs: bench.cpuMs,
  };
}

function summary(runs: readonly Counts[]): Record<string, number> {
  const sum = (of: (counts: Counts) => number) =>
    runs.reduce((total, counts) => total + of(counts), 0);
  const tasks = sum(counts => counts.tasks);
  return {
    wasted_per_task:
      sum(c => c.repeatedStops + c.forQueuedTasks + c.queries) / tasks,
    for_queued_tasks: sum(c => c.forQueuedTasks),
    stops_per_task: sum(c => c.stops) / tasks,
    started_share: sum(c => c.starts) / tasks,
    forget_messages_per_task: sum(c => c.forgetMessages) / tasks,
    cpu_us_per_task: (1_000 * sum(c => c.cpuMs)) / tasks,
  };
}
