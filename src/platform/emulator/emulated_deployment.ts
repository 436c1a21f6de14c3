import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import type {Clock} from '../../core/clock/clock.js';
import {EmulatedWorkers} from './emulated_workers.js';

const MAIN = fileURLToPath(
  new URL('../../../../target/pimentoyoke.cjs', import.meta.url),
);
const PORTS = {callers: 8_161, readiness: 8_167, control: 8_166, peers: 7_720};
const HEARTBEAT_MS = 1_500;
const RETRY_MS = 200;
const SERVICE = 'emulated';
const HOST = 'emulated.example';
const PREFIX = '/emulated/';

type Role = 'core' | 'entry';

interface EmulatedProcess {
  readonly role: Role;
  readonly address: string;
  readonly child: ChildProcess;
}

interface EmulatedDeploymentOptions {
  readonly clock: Clock;
  readonly zones: number;
  readonly cores: number;
  readonly entries: number;
  readonly workers: number;
  /** Run time of each task, in ms. */
  readonly runMs: number;
  /** Options of the JavaScript engine. */
  readonly nodeOptions?: readonly string[] | undefined;
  /** Folder for a processor profile of each process; none without it. */
  readonly profileDir?: string | undefined;
}

/**
 * A whole deployment on the loopback network: real core and entry processes, and
 * emulated workers that send heartbeats.
 */
export class EmulatedDeployment {
  readonly workers: EmulatedWorkers;
  private readonly dir = mkdtempSync(join(tmpdir(), 'pimentoyoke-'));
  /** Distinguishes concurrent deployments on one machine. */
  private readonly net = `127.${1 + (process.pid % 250)}`;
  private processes: readonly EmulatedProcess[] = [];
  private isStopped = false;
  private nextJob = 0;

  constructor(private readonly opts: EmulatedDeploymentOptions) {
    this.workers = new EmulatedWorkers(opts);
  }

  /** Starts all processes and waits until every entry process is ready. */
  async start(): Promise<void> {
    const {cores, entries, workers} = this.opts;
    const workerPort = await this.workers.listen();
    this.processes = [
      ...Array.from({length: cores}, (_, n) => this.spawn('core', n)),
      ...Array.from({length: entries}, (_, n) => this.spawn('entry', n)),
    ];
    await this.retry(() => this.publishConfig());
    for (let n = 0; n < workers; n += 1) {
      void this.announceWorker(n, workerPort);
    }
    for (const {role, address} of this.processes) {
      if (role !== 'entry') continue;
      const url = `http://${address}:${PORTS.readiness}/ready`;
      await this.retry(() => isOk(request(url)));
    }
  }

  /** Processor time of all processes of a role since their start, in seconds. */
  processorSeconds(role: Role): number[] {
    return this.processes
      .filter(each => each.role === role)
      .map(({child}) => readProcessorSeconds(child.pid!));
  }

  /** Submits a job to the entry process `n`; true if it was completed. */
  submit(n: number, tasks: number): Promise<boolean> {
    const entries = this.processes.filter(({role}) => role === 'entry');
    const {address} = entries[n % entries.length]!;
    this.nextJob += 1;
    const id = this.nextJob.toString(16).padStart(16, '0');
    const step = {
      count: tasks,
      cpu: 1_000,
      mem_mb: 64,
      estimated_ms: this.opts.runMs,
    };
    return isOk(
      request(`http://${address}:${PORTS.callers}${PREFIX}${id}`, {
        method: 'POST',
        headers: {'content-type': 'application/json', host: HOST},
        body: JSON.stringify({spec: 'x', best_effort: true, steps: [step]}),
      }),
    );
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    const signal = this.opts.profileDir ? 'SIGTERM' : 'SIGKILL';
    const exits = this.processes.map(
      ({child}) => new Promise(resolve => child.once('exit', resolve)),
    );
    for (const {child} of this.processes) child.kill(signal);
    await Promise.all(exits);
    this.workers.close();
    rmSync(this.dir, {recursive: true, force: true});
  }

  private spawn(role: Role, n: number): EmulatedProcess {
    const address = this.addressOf(role === 'core' ? 1 : 2, n);
    const file = join(this.dir, `${address}.conf`);
    const dataDir = join(this.dir, address);
    mkdirSync(dataDir);
    writeFileSync(file, this.formatSettings(address, n, dataDir));
    const {profileDir, nodeOptions = []} = this.opts;
    const profile = profileDir
      ? [
          '--cpu-prof',
          `--cpu-prof-dir=${profileDir}`,
          `--cpu-prof-name=${role}-${n}.cpuprofile`,
        ]
      : [];
    const child = spawn(
      process.execPath,
      [...nodeOptions, ...profile, MAIN, role],
      {
        env: {...process.env, PIMENTOYOKE_SETTINGS: file},
        stdio: ['ignore', 'ignore', 'inherit'],
      },
    );
    return {role, address, child};
  }

  private formatSettings(address: string, n: number, dataDir: string): string {
    const {zones, cores} = this.opts;
    const seeds = Array.from({length: Math.min(3, cores)}, (_, seed) => {
      return `${this.addressOf(1, seed)}:${PORTS.control}`;
    });
    return [
      `node_name=${address}`,
      `ip=${address}`,
      `zone=${zoneName(n % zones)}`,
      `listen.frontend=${address}:${PORTS.callers}`,
      `listen.readiness=${address}:${PORTS.readiness}`,
      `listen.control=${address}:${PORTS.control}`,
      `internal_port_range=${PORTS.peers},${PORTS.peers}`,
      `seeds=${seeds.join(',')}`,
      'bootstrap=true',
      `data_dir=${dataDir}`,
      'bounds.max_hold_ms=1000',
      'bounds.grace_s=6',
    ].join('\n');
  }

  private publishConfig(): Promise<boolean> {
    const route = {
      name: 'emulated',
      host: HOST,
      path_prefix: PREFIX,
      target_duration_ms: 1_000,
      timeout_ms: 5_000,
      backend: SERVICE,
    };
    const body = {version: 1, routes: [route], backends: [{name: SERVICE}]};
    return this.postControl('/Config.Put', body);
  }

  private async announceWorker(n: number, port: number): Promise<void> {
    for (let seq = 1; !this.isStopped; seq += 1) {
      const heartbeat = {
        backend: SERVICE,
        address: `${this.addressOf(3, n)}:${port}`,
        zone: zoneName(n % this.opts.zones),
        state: 'ready',
        capacity: {cpu: 32_000, mem_mb: 64_000, gpu: 0},
        labels: ['a', `r-${n >> 3}`],
        seq,
        born: 1,
      };
      await this.postControl(`/Instances.Heartbeat/w-${n}`, heartbeat);
      await this.sleep(HEARTBEAT_MS);
    }
  }

  private postControl(path: string, body: object): Promise<boolean> {
    return isOk(
      request(`http://${this.addressOf(1, 0)}:${PORTS.control}${path}`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
      }),
    );
  }

  private addressOf(group: number, n: number): string {
    return `${this.net}.${group * 8 + (n >> 7)}.${1 + (n & 127)}`;
  }

  private async retry(attempt: () => Promise<boolean>): Promise<void> {
    while (!(await attempt())) await this.sleep(RETRY_MS);
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.opts.clock.schedule(ms, resolve));
  }
}

function zoneName(n: number): string {
  return `z${n}`;
}

function isOk(res: ReturnType<typeof request>): Promise<boolean> {
  return res.then(
    async ({statusCode, body}) => {
      await body.text();
      return statusCode === 200;
    },
    () => false,
  );
}

function readProcessorSeconds(pid: number): number {
  let nanoseconds = 0;
  for (const thread of readdirSync(`/proc/${pid}/task`)) {
    const path = `/proc/${pid}/task/${thread}/schedstat`;
    nanoseconds += Number(readFileSync(path, 'utf8').split(' ')[0]);
  }
  return nanoseconds / 1e9;
}
