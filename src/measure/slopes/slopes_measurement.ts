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
const CALLS_PER_POINT = 200;
/** One garbage collection leaves objects that only the next one frees. */
const COLLECTIONS = 4;
const NS_PER_MS = 1_000_000;

/** Independent variable of a fit: builds a bench of size `n`. */
interface Axis {
  readonly points: readonly number[];
  readonly build: (n: number, policy: Policy) => CoreBench;
}

/** Measures memory and CPU time per worker, class, tenant, job and start. */
export class SlopesMeasurement extends Measurement {
  override readonly name = 'slopes';
  override readonly description =
    'memory and CPU time per worker, class, tenant, job and start';

  override async run(): Promise<object> {
    setFlagsFromString('--expose_gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    const [ours, baseline] = POLICIES.map(policy =>
      measurePolicy(policy, collectGarbage),
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
  collectGarbage: () => void,
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
  const fitHeap = (axis: Axis) => fitHeapSize(axis, policy, collectGarbage);
  return {
    worker_bytes: fitHeap({
      ...workers,
      points: [100, 500, 1_000, 2_000],
    }),
    class_bytes: fitHeap({...classes, points: [50, 250, 500, 1_000]}),
    tenant_bytes: fitHeap({
      points: [100, 500, 1_000, 2_000],
      build: n => {
        const loaded = bench(1, 1, n);
        for (let at = 0; at < 2_000; at += 1) loaded.submit(1);
        loaded.flush();
        return loaded;
      },
    }),
    waiting_job_of_12_bytes: fitHeap({
      points: [500, 1_000, 2_000, 4_000],
      build: n => {
        const loaded = bench(20, 1, 1);
        for (let at = 0; at < n; at += 1) loaded.submit(JOB_TASKS);
        loaded.flush();
        return loaded;
      },
    }),
    ended_job_of_12_bytes: fitHeap({
      points: [500, 1_000, 2_000, 4_000],
      build: n => {
        const loaded = bench(GROWTH_WORKERS, 1, 1);
        for (let at = 0; at < n; at += 1) {
          loaded.submit(JOB_TASKS);
          loaded.flush();
          loaded.upstream.completeOldest(JOB_TASKS);
        }
        loaded.flush();
        return loaded;
      },
    }),
    start_us_by_workers: fitStartTime(workers, policy),
    start_us_by_classes: fitStartTime(classes, policy),
    start_us_by_tenants: fitStartTime(tenants, policy),
    announcement_us_by_workers: fitAnnouncementTime(workers, policy),
    tick_us_by_workers: fitTickTime(workers, policy),
  };
}

function fitHeapSize(
  axis: Axis,
  policy: Policy,
  collectGarbage: () => void,
): LinearFit {
  const heapBytes = () => {
    for (let at = 0; at < COLLECTIONS; at += 1) collectGarbage();
    const {heapUsed, arrayBuffers} = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  // Warm-up: the first bench also causes allocations of the engine itself.
  axis.build(axis.points.at(-1)!, policy);
  const points = [...axis.points, ...axis.points, ...axis.points];
  return new LinearFit(
    points.map(n => {
      const before = heapBytes();
      const bench = axis.build(n, policy);
      const after = heapBytes();
      // Keeps the bench reachable until the heap has been measured.
      if (bench.slots < 0) throw new Error('unreachable');
      return [n, after - before] as const;
    }),
  );
}

/**
 * Fits the time per start in µs while all slots are busy and every tenant has
 * queued tasks.
 */
function fitStartTime(axis: Axis, policy: Policy): LinearFit {
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
        bench.advanceClock(MS_PER_STEP);
        bench.upstream.completeOldest(batch);
        for (let at = 0; at < batch; at += JOB_TASKS) bench.submit(JOB_TASKS);
        bench.flush();
      };
      for (let at = 0; at < 20; at += 1) step();
      const started = bench.upstream.starts;
      const startNs = process.hrtime.bigint();
      let steps = 0;
      while (bench.upstream.starts - started < STARTS) {
        step();
        steps += 1;
        if (steps % 50 === 0) bench.announceAll();
      }
      const ns = Number(process.hrtime.bigint() - startNs);
      return [n, ns / 1_000 / (bench.upstream.starts - started)] as const;
    }),
  );
}

function fitAnnouncementTime(axis: Axis, policy: Policy): LinearFit {
  return fitCallTime(axis, policy, bench => {
    bench.advanceClock(500);
    bench.announceAll();
  });
}

function fitTickTime(axis: Axis, policy: Policy): LinearFit {
  return fitCallTime(axis, policy, bench => bench.tick());
}

/** Fits the time of one `call` in µs. */
function fitCallTime(
  axis: Axis,
  policy: Policy,
  call: (bench: CoreBench) => void,
): LinearFit {
  return new LinearFit(
    axis.points.map(n => {
      const bench = axis.build(n, policy);
      for (let at = 0; at < CALLS_PER_POINT; at += 1) call(bench);
      const startNs = process.hrtime.bigint();
      for (let at = 0; at < CALLS_PER_POINT; at += 1) call(bench);
      const ns = Number(process.hrtime.bigint() - startNs);
      return [n, (1_000 * ns) / NS_PER_MS / CALLS_PER_POINT] as const;
    }),
  );
}
