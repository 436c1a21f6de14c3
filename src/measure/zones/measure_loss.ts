import {DeploymentBench} from '../../../test-support/fakes/pool/deployment_bench.js';

/** Numbers of workers per zone below and above which zones are granted. */
const WORKERS = {'one leader': 40, 'per zone': 50} as const;
const ZONES = ['x', 'y', 'z'];
const START_MS = 6_000;
const LOAD_INTERVAL_MS = 20;
const LOAD_MS = 5_000;
const FREEZE_MS = 3_000;
const REST_MS = 4_500;
const PATIENCE_MS = 4_000;
/** Shift of the fault against the periods of messages, per seed. */
const SHIFT_MS = 37;

interface Fault {
  readonly name: string;
  readonly begin: (bench: DeploymentBench, node: string) => void;
  readonly end: (bench: DeploymentBench, node: string) => void;
}

const FAULTS: readonly Fault[] = [
  {
    name: 'killed',
    begin: (bench, node) => bench.kill(node),
    end: () => undefined,
  },
  {
    name: 'frozen for 3 s',
    begin: (bench, node) => bench.suspend(node),
    end: (bench, node) => bench.resume(node),
  },
  {
    name: 'zone cut off for 3 s',
    begin: (bench, node) =>
      bench.isolate(bench.inZone(node[0]!), bench.outsideOf(node[0]!)),
    end: bench => bench.heal(),
  },
];

/**
 * Longest time in ms without a completed job after a fault of a dispatcher, in
 * its zone and in the others; the longest of all seeds.
 */
export async function measureLoss(seeds: readonly number[]): Promise<object> {
  const figures: Record<string, object> = {};
  for (const [layout, workersPerZone] of Object.entries(WORKERS)) {
    for (const fault of FAULTS) {
      let ownMs = 0;
      let othersMs = 0;
      for (const seed of seeds) {
        const gaps = await run(workersPerZone, fault, seed);
        ownMs = Math.max(ownMs, gaps.ownMs);
        othersMs = Math.max(othersMs, gaps.othersMs);
      }
      figures[`${layout}, ${fault.name}`] = {ownMs, othersMs};
    }
  }
  return figures;
}

async function run(workersPerZone: number, fault: Fault, seed: number) {
  const bench = new DeploymentBench({workersPerZone});
  await bench.run(START_MS);
  const opts = {patienceMs: PATIENCE_MS};
  await bench.runLoad(500 + SHIFT_MS * seed, LOAD_INTERVAL_MS, opts);
  const node = bench.holders()['y']?.[0] ?? bench.leader!;
  const since = bench.now;
  fault.begin(bench, node);
  await bench.runLoad(FREEZE_MS, LOAD_INTERVAL_MS, opts);
  fault.end(bench, node);
  await bench.runLoad(LOAD_MS - FREEZE_MS, LOAD_INTERVAL_MS, opts);
  const until = bench.now;
  await bench.run(REST_MS);
  const gapOf = (zone: string) => bench.log.longestGap(zone, since, until);
  const others = ZONES.filter(zone => zone !== node[0]);
  return {
    ownMs: gapOf(node[0]!),
    othersMs: Math.max(...others.map(gapOf)),
  };
}
