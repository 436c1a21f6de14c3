import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {Measurement} from '../measurement.js';

const HOSTS = 3;
const UPSTREAMS_PER_HOST = 11;
const SLOTS = 8;
const OPEN_JOBS = 12;
const TASK_MS = 10;
const WARM_UP_MS = 3_000;
const MEASURED_MS = 8_000;
/**
 * Tasks per job. For jobs of any size, a worker's response to a start request
 * is streamed until the last attempt ends.
 */
const JOB_SIZES = [1, 12, 100, 840];
const TICKS_PER_SECOND = 100;
const KB = 1_024;

const REPLICATED_SIZES = [12, 100];

const UPSTREAM_HOST_SCRIPT = fileURLToPath(
  new URL('upstream_host.js', import.meta.url),
);
const LOAD_DRIVER_SCRIPT = fileURLToPath(
  new URL('load_driver.js', import.meta.url),
);

interface Sample {
  readonly atMs: number;
  readonly starts: number;
  /** Resource use of each daemon. */
  readonly usage: ReadonlyArray<ReturnType<typeof usageOf>>;
}

/** Measures starts per second through real daemons on loopback. */
export class ThroughputMeasurement extends Measurement {
  override readonly name = 'throughput';
  override readonly description =
    'starts per second through real daemons on loopback';

  override async run(): Promise<object> {
    const figures: Record<string, object> = {};
    for (const size of JOB_SIZES) {
      figures[`jobs of ${size}`] = await runOnce(size, ['a1']);
    }
    for (const size of REPLICATED_SIZES) {
      const name = `jobs of ${size}, group of three`;
      figures[name] = await runOnce(size, ['a1', 'a2', 'a3']);
    }
    return {figures, task_ms: TASK_MS, baseline: 'not measured'};
  }
}

async function runOnce(
  jobSize: number,
  nodes: readonly string[],
): Promise<object> {
  const cluster = await LocalCluster.create(
    nodes.map(id => ({id, zone: 'arbat', voter: true})),
  );
  const children: ChildProcess[] = [];
  try {
    await cluster.startAll();
    const {caller} = cluster.node('a1');
    const daemons = nodes.map(id => cluster.node(id).process!.pid!);
    const starts = Array.from({length: HOSTS}, () => 0);
    for (let host = 0; host < HOSTS; host += 1) {
      const first = host * UPSTREAMS_PER_HOST + 1;
      const child = spawnNode([
        UPSTREAM_HOST_SCRIPT,
        `${first}`,
        `${UPSTREAMS_PER_HOST}`,
        caller,
      ]);
      children.push(child);
      child.stdout!.on('data', (chunk: Buffer) => {
        starts[host] = Number(chunk.toString().trim().split('\n').at(-1));
      });
    }
    const takeSample = (): Sample => ({
      atMs: Date.now(),
      starts: starts.reduce((sum, count) => sum + count, 0),
      usage: daemons.map(usageOf),
    });
    // The smaller the jobs, the more of them are needed to fill the slots.
    const slots = HOSTS * UPSTREAMS_PER_HOST * SLOTS;
    const open = Math.max(OPEN_JOBS, Math.ceil((2 * slots) / jobSize));
    const durationMs = WARM_UP_MS + MEASURED_MS + 1_000;
    const driver = spawnNode(
      [LOAD_DRIVER_SCRIPT, caller, open, jobSize, TASK_MS, durationMs].map(
        String,
      ),
    );
    children.push(driver);
    let output = '';
    driver.stdout!.on('data', (chunk: Buffer) => (output += chunk.toString()));
    await sleep(WARM_UP_MS);
    const before = takeSample();
    await sleep(MEASURED_MS);
    const after = takeSample();
    await waitUntil('output of the load driver', () => output.endsWith('\n'));
    const count = after.starts - before.starts;
    const elapsedMs = after.atMs - before.atMs;
    const cpuMs = after.usage.map(
      (usage, at) => usage.cpuMs - before.usage[at]!.cpuMs,
    );
    return {
      starts_per_s: {
        ours: Math.round((1_000 * count) / elapsedMs),
        baseline: null,
        ratio: null,
      },
      // Per daemon: the leader of the zone may be another daemon than the one
      // that receives the jobs.
      daemon_cpu_us_per_start: cpuMs.map(ms =>
        Math.round((1_000 * ms) / Math.max(1, count)),
      ),
      daemon_core_share: cpuMs.map(ms => round(ms / elapsedMs)),
      daemon_rss_mb: after.usage.map(({rssMb}) => rssMb),
      open_jobs: open,
      jobs: JSON.parse(output) as object,
    };
  } finally {
    for (const child of children) child.kill('SIGKILL');
    await cluster.stopAll();
  }
}

function spawnNode(args: readonly string[]): ChildProcess {
  return spawn(process.execPath, [...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
}

/** Reads the CPU time and resident memory of a local process. */
function usageOf(pid: number): {cpuMs: number; rssMb: number} {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuMs: (1_000 * ticks) / TICKS_PER_SECOND,
    rssMb: Math.round(rssKb / KB),
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function round(value: number): number {
  return Number(value.toFixed(2));
}
