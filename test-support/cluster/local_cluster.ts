import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {stringify} from 'smol-toml';
import {request} from 'undici';
import {TcpRelay} from '../relay/tcp_relay.js';
import {findFreePorts} from './find_free_ports.js';
import type {UpstreamReport} from './upstream_report.js';
import {waitUntil} from './wait_until.js';

const HOST = '127.0.0.1';
/** Length of the end of a daemon's log that a start error quotes. */
const MAX_LOG_CHARS = 4_096;
const PORTS_PER_NODE = 3;
/** Time after which a process that has not exited gets a SIGKILL. */
const STOP_TIMEOUT_MS = 20_000;
/** Short, as a local cluster has no load balancer to notify. */
const DRAIN_NOTICE_MS = 50;
const DAEMON = fileURLToPath(
  new URL('../../src/daemon/main.js', import.meta.url),
);
const CLI = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const UPSTREAM = fileURLToPath(new URL('../upstream/main.js', import.meta.url));

interface NodeSpec {
  readonly id: string;
  readonly zone: string;
  readonly voter?: boolean;
  /** Settings that override or extend the defaults of a local node. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

interface ClusterOptions {
  /** Whether links between daemons pass through relays. Default false. */
  readonly usesRelays?: boolean;
}

interface CliResult {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

interface RunningNode extends NodeSpec {
  readonly settingsFile: string;
  readonly caller: string;
  readonly admin: string;
  process: ChildProcess | undefined;
  /** Last characters of the log of the process. */
  log: string;
}

/** Daemons and stand-in upstreams on loopback, in processes of their own. */
export class LocalCluster {
  static readonly ADMIN_TOKEN = 'local-admin-token';

  readonly nodes = new Map<string, RunningNode>();
  /** Task starts reported by the upstreams, in order of arrival. */
  readonly starts: Array<{start: string; key: string; task: number}> = [];
  /** Called with each report of an upstream, in order of arrival. */
  onReport: (child: ChildProcess, report: UpstreamReport) => void = () =>
    undefined;
  private readonly upstreams: ChildProcess[] = [];
  private readonly relays = new Map<string, TcpRelay>();

  private constructor(
    private readonly dir: string,
    readonly tokenFile: string,
  ) {}

  /** Writes the settings files of all nodes, but starts no node. */
  static async create(
    specs: readonly NodeSpec[],
    {usesRelays = false}: ClusterOptions = {},
  ): Promise<LocalCluster> {
    const dir = mkdtempSync(join(tmpdir(), 'pimento-'));
    const tokenFile = join(dir, 'admin-token');
    const cluster = new LocalCluster(dir, tokenFile);
    const ports = await findFreePorts(specs.length * PORTS_PER_NODE);
    writeFileSync(tokenFile, `${LocalCluster.ADMIN_TOKEN}\n`, {mode: 0o600});
    const nodes = specs.map((node, index) => ({
      ...node,
      caller: ports[index * PORTS_PER_NODE]!,
      peer: ports[index * PORTS_PER_NODE + 1]!,
      admin: ports[index * PORTS_PER_NODE + 2]!,
    }));
    for (const node of nodes) {
      const settingsFile = join(cluster.dir, `${node.id}.toml`);
      const settings = {
        node: node.id,
        caller: {host: HOST, port: node.caller},
        admin: {host: HOST, port: node.admin},
        admin_token_file: tokenFile,
        drain_notice_ms: DRAIN_NOTICE_MS,
        ...(node.voter ? {data_dir: join(cluster.dir, `${node.id}-data`)} : {}),
        nodes: await Promise.all(
          nodes.map(async ({id, zone, peer, voter}) => ({
            id,
            zone,
            peer: {
              host: HOST,
              port:
                usesRelays && id !== node.id
                  ? await cluster.createRelay(node.id, id, peer)
                  : peer,
            },
            voter: voter ?? false,
          })),
        ),
        ...node.settings,
      };
      writeFileSync(settingsFile, stringify(settings));
      cluster.nodes.set(node.id, {
        id: node.id,
        zone: node.zone,
        settingsFile,
        caller: `http://${HOST}:${node.caller}`,
        admin: `http://${HOST}:${node.admin}`,
        process: undefined,
        log: '',
      });
    }
    return cluster;
  }

  node(id: string): RunningNode {
    const node = this.nodes.get(id);
    if (!node) throw new Error(`the cluster has no node ${id}`);
    return node;
  }

  /** Relay of the connections that one daemon opens to another. */
  link(from: string, to: string): TcpRelay {
    const relay = this.relays.get(`${from} ${to}`);
    if (!relay) throw new Error(`no relay from ${from} to ${to}`);
    return relay;
  }

  startNode(id: string): void {
    const node = this.node(id);
    node.process = spawn(
      process.execPath,
      ['--enable-source-maps', DAEMON, '--config', node.settingsFile],
      {
        stdio: ['ignore', 'ignore', process.env['DEBUG'] ? 'inherit' : 'pipe'],
      },
    );
    node.log = '';
    node.process.stderr?.on('data', (chunk: Buffer) => {
      node.log = (node.log + chunk.toString()).slice(-MAX_LOG_CHARS);
    });
  }

  async startAll(): Promise<void> {
    for (const id of this.nodes.keys()) this.startNode(id);
    try {
      await Promise.all(
        [...this.nodes.keys()].map(id => this.waitUntilReady(id)),
      );
    } catch (err) {
      // Running daemons would prevent the test process from exiting.
      await this.stopAll();
      throw err;
    }
  }

  async waitUntilReady(id: string): Promise<void> {
    const {caller} = this.node(id);
    await waitUntil(`node ${id} to become ready`, () => {
      const exitCode = this.node(id).process?.exitCode ?? null;
      if (exitCode === null) return isHealthy(`${caller}/healthz`);
      throw new Error(
        `node ${id} exited with code ${exitCode}: ${this.node(id).log}`,
      );
    });
  }

  startUpstream(worker: string, zone: string, slots = 8): ChildProcess {
    const entries = [...this.nodes.values()]
      .filter(node => node.zone === zone)
      .map(node => node.caller);
    const child = spawn(
      process.execPath,
      [UPSTREAM, '--worker', worker, '--zone', zone]
        .concat(['--slots', String(slots)])
        .concat(['--entry', ...entries]),
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    let partialLine = '';
    child.stdout.on('data', (chunk: Buffer) => {
      const lines = (partialLine + chunk.toString()).split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) {
        const report = JSON.parse(line) as UpstreamReport;
        if ('start' in report) this.starts.push(report);
        this.onReport(child, report);
      }
    });
    this.upstreams.push(child);
    return child;
  }

  /** Runs the command-line tool against the APIs of a node. */
  async cli(id: string, ...args: string[]): Promise<CliResult> {
    const {caller, admin} = this.node(id);
    const child = spawn(process.execPath, [CLI, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {
        ...process.env,
        PIMENTOYOKE_ENTRY: caller,
        PIMENTOYOKE_ADMIN: admin,
        PIMENTOYOKE_TOKEN_FILE: this.tokenFile,
      },
    });
    let out = '';
    let err = '';
    child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()));
    const code = await new Promise<number | null>(resolve =>
      child.once('close', resolve),
    );
    return {code, out, err};
  }

  /**
   * Sends a signal to a node and waits until it exits. Returns the exit code, or
   * null if a signal ended the process or it was not running.
   */
  async stopNode(
    id: string,
    signal: NodeJS.Signals = 'SIGTERM',
  ): Promise<number | null> {
    const child = this.node(id).process;
    if (!child) return null;
    this.node(id).process = undefined;
    return killAndWait(child, signal);
  }

  async stopAll(): Promise<void> {
    await Promise.all(
      this.upstreams.map(child => killAndWait(child, 'SIGKILL')),
    );
    await Promise.all([...this.nodes.keys()].map(id => this.stopNode(id)));
    await Promise.all([...this.relays.values()].map(relay => relay.close()));
    rmSync(this.dir, {recursive: true, force: true});
  }

  private async createRelay(
    from: string,
    to: string,
    port: number,
  ): Promise<number> {
    const relay = await TcpRelay.listen(port);
    this.relays.set(`${from} ${to}`, relay);
    return relay.port;
  }
}

async function killAndWait(
  child: ChildProcess,
  signal: NodeJS.Signals,
): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return child.exitCode;
  }
  const exited = new Promise<number | null>(resolve =>
    child.once('exit', resolve),
  );
  child.kill(signal);
  const killTimer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  const code = await exited;
  clearTimeout(killTimer);
  return code;
}

async function isHealthy(url: string): Promise<boolean> {
  try {
    const res = await request(url);
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}
