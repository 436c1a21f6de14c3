import {mkdirSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import type {Clock} from '../../core/clock/clock.js';
import {EmulatedFleet} from './emulated_fleet.js';
import type {EmulatedJob} from './emulated_job.js';
import {EmulatedLinks} from './emulated_links.js';
import {EmulatedProcess} from './emulated_process.js';
import type {EmulatedRun} from './emulated_run.js';
import {postJson} from './post_json.js';

const PORTS = {callers: 8_161, readiness: 8_167, control: 8_166, peers: 7_720};
const RETRY_MS = 200;
const DEFAULT_WORKER_CPU = 32_000;
/** Service whose workers refuse runs beyond their capacity, and another one. */
const SERVICES = ['guarded', 'unguarded'] as const;
const HOST = 'emulated.example';
/** Part of every complete configuration. */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 262_144,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

type Role = 'core' | 'entry';
type Service = (typeof SERVICES)[number];

interface EmulatedDeploymentOptions {
  readonly clock: Clock;
  readonly zones: number;
  readonly cores: number;
  readonly entries: number;
  readonly workers: number;
  /** Core processes that are not started, for replacements. Default 0. */
  readonly spares?: number;
  /** Number of lost disks to tolerate. Default: that of the program. */
  readonly lostDisks?: number | undefined;
  /** Bundle that the processes run. Default: the one of this repository. */
  readonly program?: string | undefined;
  /** Capacity of each worker, in thousandths of a core. Default 32,000. */
  readonly workerCpu?: number;
  /** Whether every second worker of a zone does not guard its capacity. */
  readonly hasUnguarded?: boolean;
  /** Whether links between processes and to workers pass through relays. */
  readonly usesRelays?: boolean;
  /** Whether the output of processes is kept in files of `dir`. */
  readonly keepsLogs?: boolean;
  /** Called with each run that a worker starts. */
  readonly onStart?: (run: EmulatedRun) => void;
  /** Called with the process and its exit code or signal. */
  readonly onUnexpectedExit?: (process: EmulatedProcess, code: string) => void;
  /** Further lines of the settings of each process. Default: none. */
  readonly settings?: readonly string[] | undefined;
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
  readonly fleet: EmulatedFleet;
  readonly links = new EmulatedLinks();
  /** Folder of settings, disks and logs. */
  readonly dir = mkdtempSync(join(tmpdir(), 'pimentoyoke-'));
  /** All core processes, then all entry processes. */
  processes: readonly EmulatedProcess[];
  /** Core processes that replacements have not used yet. */
  private readonly spares: EmulatedProcess[];
  /** Distinguishes concurrent deployments on one machine. */
  private readonly net = `127.${1 + (process.pid % 250)}`;
  private revision = 0;
  private isStopped = false;

  constructor(private readonly opts: EmulatedDeploymentOptions) {
    const {clock, cores, entries, workers, usesRelays = false} = opts;
    const {spares = 0} = opts;
    const count = (n: number) => Array.from({length: n}, (_, at) => at);
    this.processes = [
      ...count(cores).map(n => this.create('core', n)),
      ...count(entries).map(n => this.create('entry', n)),
    ];
    this.spares = count(spares).map(n => this.create('core', cores + n));
    this.fleet = new EmulatedFleet({
      clock,
      usesRelays,
      cpu: opts.workerCpu ?? DEFAULT_WORKER_CPU,
      control: this.ofRole('core').map(({opts}) => controlOf(opts.address)),
      onStart: opts.onStart ?? (() => undefined),
      places: count(workers).map(n => {
        const isOdd = Math.floor(n / opts.zones) % 2 === 1;
        const service = SERVICES[opts.hasUnguarded && isOdd ? 1 : 0];
        return {
          address: this.addressOf(3, n),
          zone: this.zoneName(n),
          service,
          guardsCapacity: service === 'guarded',
        };
      }),
    });
  }

  /** Starts all processes and waits until every entry process is ready. */
  async start(): Promise<void> {
    await this.fleet.start();
    if (this.opts.usesRelays) await this.createLinks();
    for (const each of this.processes) each.start();
    await this.retry(() => this.publishConfig());
    for (const each of this.ofRole('entry')) {
      await this.retry(() => this.isReady(each));
    }
  }

  ofRole(role: Role): EmulatedProcess[] {
    return this.processes.filter(({opts}) => opts.role === role);
  }

  /**
   * Ends a core process for good and starts an empty one of its zone at another
   * address; undefined if there is no spare one.
   */
  async replaceCore(
    process: EmulatedProcess,
  ): Promise<EmulatedProcess | undefined> {
    const {zone} = process.opts;
    const at = this.spares.findIndex(({opts}) => opts.zone === zone);
    const [spare] = at < 0 ? [] : this.spares.splice(at, 1);
    if (!spare) return undefined;
    this.processes = this.processes.map(p => (p === process ? spare : p));
    const cores = this.ofRole('core');
    spare.replaceSeeds(cores.slice(0, 3).map(c => controlOf(c.opts.address)));
    await process.kill();
    spare.start();
    return spare;
  }

  /** Whether there is a spare process to replace a core process by. */
  hasSpare({opts: {zone}}: EmulatedProcess): boolean {
    return this.spares.some(({opts}) => opts.zone === zone);
  }

  /** Addresses of the control API, one for each core process. */
  controls(): string[] {
    return this.ofRole('core').map(({opts}) => controlOf(opts.address));
  }

  /** URL of a route at an entry process. */
  routeUrl({opts: {address}}: EmulatedProcess, path: string): string {
    return `http://${address}:${PORTS.callers}${path}`;
  }

  /** Whether an entry process asks for connections. */
  async isReady({opts: {address}}: EmulatedProcess): Promise<boolean> {
    try {
      const url = `http://${address}:${PORTS.readiness}/ready`;
      const {statusCode, body} = await request(url);
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  /** URL of the first core process for the heartbeats of a worker. */
  heartbeatUrl(worker: string): string {
    const [{opts}] = this.ofRole('core') as [EmulatedProcess];
    return `http://${controlOf(opts.address)}/Instances.Heartbeat/${worker}`;
  }

  /** Request that submits a job to an entry process. */
  submission(
    {opts: {address}}: EmulatedProcess,
    job: EmulatedJob,
    options: {service?: Service; deadlineMs?: number} = {},
  ) {
    const {service = 'guarded', deadlineMs} = options;
    return {
      node: address,
      method: 'POST' as const,
      url: `http://${address}:${PORTS.callers}/${service}/${job.id}`,
      headers: {
        host: HOST,
        ...(deadlineMs ? {'x-deadline-ms': String(deadlineMs)} : {}),
      },
      body: job.toBody(),
    };
  }

  /** Publishes the next version of the configuration; true if acknowledged. */
  async publishConfig(): Promise<boolean> {
    this.revision += 1;
    const routes = SERVICES.map(service => ({
      name: service,
      host: HOST,
      path_prefix: `/${service}/`,
      target_duration_ms: 1_000,
      timeout_ms: 5_000,
      max_attempts: 4,
      backend: service,
    }));
    const backends = SERVICES.map(name => ({
      name,
      enforces_capacity: name === 'guarded',
    }));
    const body = {version: this.revision, routes, backends, limits: LIMITS};
    const cores = this.ofRole('core');
    const {address} = cores[this.revision % cores.length]!.opts;
    const url = `http://${controlOf(address)}/Config.Put`;
    return (await postJson(url, body)) !== undefined;
  }

  /** Stops all processes; keeps the folder if `keepsDir`. */
  async stop({keepsDir = false} = {}): Promise<void> {
    this.isStopped = true;
    const isGraceful = this.opts.profileDir !== undefined;
    await Promise.all(
      this.processes.map(each => (isGraceful ? each.stop() : each.kill())),
    );
    await this.fleet.close();
    await this.links.close();
    if (!keepsDir) rmSync(this.dir, {recursive: true, force: true});
  }

  private create(role: Role, n: number): EmulatedProcess {
    const address = this.addressOf(role === 'core' ? 1 : 2, n);
    const dataDir = join(this.dir, address);
    mkdirSync(dataDir);
    const {clock, keepsLogs, profileDir, nodeOptions = []} = this.opts;
    const profile = profileDir
      ? [
          '--cpu-prof',
          `--cpu-prof-dir=${profileDir}`,
          `--cpu-prof-name=${role}-${n}.cpuprofile`,
        ]
      : [];
    return new EmulatedProcess({
      ...{clock, role, address},
      zone: this.zoneName(n),
      settingsFile: join(this.dir, `${address}.conf`),
      settings: this.settingsOf(role, n, dataDir),
      seeds: this.firstSeeds(),
      dataDir,
      program: this.opts.program,
      isSpare: role === 'core' && n >= this.opts.cores,
      logFile: keepsLogs ? join(this.dir, `${role}-${n}.log`) : undefined,
      nodeOptions: [...nodeOptions, ...profile],
      onUnexpectedExit: this.opts.onUnexpectedExit ?? (() => undefined),
    });
  }

  private settingsOf(role: Role, n: number, dataDir: string): string[] {
    const {zones, lostDisks, settings = []} = this.opts;
    const address = this.addressOf(role === 'core' ? 1 : 2, n);
    const port = this.peerPort(role, n);
    return [
      `node_name=${address}`,
      `ip=${address}`,
      `zone=${this.zoneName(n)}`,
      ...Array.from({length: zones}, (_, n) => `zones.${this.zoneName(n)}=r`),
      `listen.frontend=${address}:${PORTS.callers}`,
      `listen.readiness=${address}:${PORTS.readiness}`,
      `listen.control=${controlOf(address)}`,
      `internal_port_range=${port},${port}`,
      `data_dir=${dataDir}`,
      'bounds.max_hold_ms=1000',
      'bounds.grace_s=6',
      ...(lostDisks === undefined
        ? []
        : [`fault_tolerance.machines=${lostDisks}`]),
      ...settings,
    ];
  }

  private firstSeeds(): string[] {
    return Array.from({length: Math.min(3, this.opts.cores)}, (_, seed) =>
      controlOf(this.addressOf(1, seed)),
    );
  }

  /** The same for all processes, unless relays need one of each. */
  private peerPort(role: Role, n: number): number {
    if (!this.opts.usesRelays) return PORTS.peers;
    const {cores, spares = 0} = this.opts;
    return PORTS.peers + n + (role === 'core' ? 0 : cores + spares);
  }

  private async createLinks(): Promise<void> {
    const processes = [
      ...this.ofRole('core'),
      ...this.spares,
      ...this.ofRole('entry'),
    ];
    const nodes = processes.map(({opts: {address}}, at) => {
      return {address, port: PORTS.peers + at};
    });
    for (const from of nodes) {
      for (const to of nodes) if (from !== to) await this.links.add(from, to);
    }
  }

  private zoneName(n: number): string {
    return `z${n % this.opts.zones}`;
  }

  private addressOf(group: number, n: number): string {
    return `${this.net}.${group * 8 + (n >> 7)}.${1 + (n & 127)}`;
  }

  private async retry(attempt: () => Promise<boolean>): Promise<void> {
    while (!this.isStopped && !(await attempt())) {
      await new Promise<void>(resolve => {
        this.opts.clock.schedule(RETRY_MS, resolve);
      });
    }
  }
}

function controlOf(address: string): string {
  return `${address}:${PORTS.control}`;
}
