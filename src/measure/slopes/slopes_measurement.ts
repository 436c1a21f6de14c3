import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Measurement} from '../measurement.js';
import {Figure} from '../workload/figure.js';
import {POLICIES} from '../workload/policies.js';
import {CoreBench} from './core_bench.js';
import {LinearFit} from './linear_fit.js';

type Policy = (typeof POLICIES)[number];

const GROWTH_WORKERS = 312;
const GROWTH_TENANTS = 590;
const CLASSES = 20;
const JOB_TASKS = 12;
const STARTS = 30_000;
const MS_PER_STEP = 10;
const ANNOUNCE_ROUNDS = 200;
/** One collection leaves garbage that the next one finds. */
const COLLECTIONS = 4;
const NS_PER_MS = 1_000_000;

/** What a slope is over: a bench of size `n`. */
interface Axis {
  readonly points: readonly number[];
  readonly build: (n: number, policy: Policy) => CoreBench;
}

/** Memory and processor time per worker, class, tenant, job and start. */
export class SlopesMeasurement extends Measurement {
  override readonly name = 'slopes';
  override readonly description =
    'memory and processor time per worker, class, tenant, job and start';

  override async run(): Promise<object> {
    setFlagsFromString('--expose_gc');
    const collect = runInNewContext('gc') as () => void;
    const [ours, baseline] = POLICIES.map(policy =>
      measurePolicy(policy, collect),
    );
    return {
      figures: Object.fromEntries(
        Object.entries(ours!).map(([name, fit]) => [
          name,
          {
            ...new Figure(fit.slope, baseline![name]!.slope),
            error: Number(fit.error.toPrecision(2)),
            at_0: Number(fit.intercept.toPrecision(4)),
          },
        ]),
      ),
      cpu: {unit: 'us', job_tasks: JOB_TASKS},
      memory: {unit: 'bytes'},
    };
  }
}

function measurePolicy(
  policy: Policy,
  collect: () => void,
): Record<string, LinearFit> {
  const bench = (workers: number, classes: number, tenants: number) =>
    new CoreBench({workers, classes, tenants, policy: policy.create(1)});
  const workers: Axis = {
    points: [40, 80, 160, 320, 640],
    build: n => bench(n, CLASSES, 1),
  };
  const classes: Axis = {
    points: [1, 10, 20, 40, 80],
    build: n => bench(GROWTH_WORKERS, n, 1),
  };
  const tenants: Axis = {
    points: [1, 75, 150, 300, GROWTH_TENANTS],
    build: n => bench(GROWTH_WORKERS, CLASSES, n),
  };
  const heap = (axis: Axis) => heapFit(axis, policy, collect);
  return {
    worker_bytes: heap({
      ...workers,
      points: [100, 500, 1_000, 2_000],
    }),
    class_bytes: heap({...classes, points: [50, 250, 500, 1_000]}),
    tenant_bytes: heap({
      points: [100, 500, 1_000, 2_000],
      build: n => {
        const filled = bench(1, 1, n);
        for (let at = 0; at < 2_000; at += 1) filled.submit(1);
        filled.flush();
        return filled;
      },
    }),
    waiting_job_of_12_bytes: heap({
      points: [500, 1_000, 2_000, 4_000],
      build: n => {
        const filled = bench(20, 1, 1);
        for (let at = 0; at < n; at += 1) filled.submit(JOB_TASKS);
        filled.flush();
        return filled;
      },
    }),
    ended_job_of_12_bytes: heap({
      points: [500, 1_000, 2_000, 4_000],
      build: n => {
        const filled = bench(GROWTH_WORKERS, 1, 1);
        for (let at = 0; at < n; at += 1) {
          filled.submit(JOB_TASKS);
          filled.flush();
          filled.upstream.end(JOB_TASKS);
        }
        filled.flush();
        return filled;
      },
    }),
    start_us_by_workers: cpuFit(workers, policy),
    start_us_by_classes: cpuFit(classes, policy),
    start_us_by_tenants: cpuFit(tenants, policy),
    announcement_us_by_workers: announceFit(workers, policy),
    tick_us_by_workers: tickFit(workers, policy),
  };
}

function heapFit(axis: Axis, policy: Policy, collect: () => void): LinearFit {
  const used = () => {
    for (let at = 0; at < COLLECTIONS; at += 1) collect();
    const {heapUsed, arrayBuffers} = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  // The first bench makes the engine compile and allocate for itself.
  axis.build(axis.points.at(-1)!, policy);
  const points = [...axis.points, ...axis.points, ...axis.points];
  return new LinearFit(
    points.map(n => {
      const before = used();
      const bench = axis.build(n, policy);
      const after = used();
      // The bench must be alive until the reading.
      if (bench.slots < 0) throw new Error('unreachable');
      return [n, after - before] as const;
    }),
  );
}

/** Time per start while all slots are taken and every tenant has work waiting. */
function cpuFit(axis: Axis, policy: Policy): LinearFit {
  return new LinearFit(
    axis.points.map(n => {
      const bench = axis.build(n, policy);
      const batch = Math.max(1, Math.floor(bench.slots / 25));
      while (
        bench.dispatcher.queued <
        bench.slots + GROWTH_TENANTS * JOB_TASKS
      ) {
        bench.submit(JOB_TASKS);
      }
      bench.flush();
      const step = () => {
        bench.pass(MS_PER_STEP);
        bench.upstream.end(batch);
        for (let at = 0; at < batch; at += JOB_TASKS) bench.submit(JOB_TASKS);
        bench.flush();
      };
      for (let at = 0; at < 20; at += 1) step();
      const started = bench.upstream.starts;
      const timer = process.hrtime.bigint();
      let steps = 0;
      while (bench.upstream.starts - started < STARTS) {
        step();
        steps += 1;
        if (steps % 50 === 0) bench.announceAll();
      }
      const ns = Number(process.hrtime.bigint() - timer);
      return [n, ns / 1_000 / (bench.upstream.starts - started)] as const;
    }),
  );
}

function announceFit(axis: Axis, policy: Policy): LinearFit {
  return timeFit(axis, policy, bench => {
    bench.pass(500);
    bench.announceAll();
  });
}

function tickFit(axis: Axis, policy: Policy): LinearFit {
  return timeFit(axis, policy, bench => bench.tick());
}

/** Time in microseconds of one round over all workers. */
function timeFit(
  axis: Axis,
  policy: Policy,
  act: (bench: CoreBench) => void,
): LinearFit {
  return new LinearFit(
    axis.points.map(n => {
      const bench = axis.build(n, policy);
      for (let at = 0; at < ANNOUNCE_ROUNDS; at += 1) act(bench);
      const timer = process.hrtime.bigint();
      for (let at = 0; at < ANNOUNCE_ROUNDS; at += 1) act(bench);
      const ns = Number(process.hrtime.bigint() - timer);
      return [n, (1_000 * ns) / NS_PER_MS / ANNOUNCE_ROUNDS] as const;
    }),
  );
}
