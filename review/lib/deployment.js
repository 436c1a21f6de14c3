import {spawn} from 'node:child_process';
import {mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {sendRequest} from './send_request.js';
import {waitFor} from './wait_for.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const ZONES = ['arbat', 'panfilov', 'medeu'];
const ENTRIES_PER_ZONE = 2;
/** The port of the metrics is fixed in the program. */
const METRICS_PORT = 9_464;
const START_TIMEOUT_MS = 40_000;
/** The platform starts a process that has ended again after a short delay. */
const RESTART_MS = 500;
const MAX_NETS = 20;

/**
 * The processes of a small deployment, three core nodes and six entry nodes in
 * three zones, each on a loopback address of its own. They are started with the
 * commands of the deploy file and with the settings of the deployment page.
 */
export class Deployment {
  constructor(recorder) {
    this.recorder = recorder;
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    this.nodes = [];
    this.isStopping = false;
  }

  async start() {
    await this.choosePorts();
    const commands = readCommands();
    const addresses = {core: [], entry: []};
    for (const [at, zone] of ZONES.entries()) {
      addresses.core.push({zone, ip: this.ip(1, at + 1)});
      for (let n = 0; n < ENTRIES_PER_ZONE; n += 1) {
        const ip = this.ip(2, at * ENTRIES_PER_ZONE + n + 1);
        addresses.entry.push({zone, ip});
      }
    }
    this.control = addresses.core.map(({ip}) => `${ip}:${this.ports.control}`);
    for (const role of ['core', 'entry']) {
      for (const {zone, ip} of addresses[role]) {
        const command = commands[role];
        const node = {role, zone, ip, command, isFirst: true, ownEnds: 0};
        this.nodes.push(node);
        this.startNode(node);
      }
    }
  }

  ofRole(role) {
    return this.nodes.filter(node => node.role === role);
  }

  startNode(node) {
    const file = join(this.dir, `${node.ip}.conf`);
    writeFileSync(file, this.settings(node));
    node.isFirst = false;
    const [program, ...words] = node.command;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, PIMENTOYOKE_SETTINGS: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    node.isToEnd = false;
    // The last lines tell why a process has ended.
    let lastLines = '';
    const keep = chunk => (lastLines = (lastLines + chunk).slice(-600));
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      const fields = {node: node.ip, role: node.role, code, signal};
      this.recorder.write('process_ended', fields);
      node.child = undefined;
      if (node.isToEnd || this.isStopping) return;
      node.ownEnds += 1;
      const output = JSON.stringify(lastLines.replaceAll(ROOT, ''));
      this.recorder.write('ended_by_itself', {node: node.ip, output});
      globalThis.setTimeout(() => {
        if (!this.isStopping) this.startNode(node);
      }, RESTART_MS);
    });
    this.recorder.write('process_started', {node: node.ip, role: node.role});
  }

  /** Sends a signal that ends the process; it isn't started again by itself. */
  end(node, signal) {
    node.isToEnd = true;
    this.recorder.write('signal', {node: node.ip, role: node.role, signal});
    node.child?.kill(signal);
  }

  /** Publishes a configuration as the operator does, until it is accepted. */
  async publish(configuration) {
    await waitFor(
      'the configuration is accepted',
      async () => {
        const [target] = this.control;
        const url = `http://${target}/Config.Put`;
        const options = {method: 'POST', json: configuration, timeoutMs: 1_000};
        return (await sendRequest(url, options)).status === 200;
      },
      START_TIMEOUT_MS,
    );
    this.recorder.write('configuration', {version: configuration.version});
  }

  /** Waits until all entry nodes ask for connections. */
  async waitUntilReady() {
    for (const {ip} of this.ofRole('entry')) {
      await waitFor(
        `${ip} is ready`,
        async () => {
          const url = `http://${ip}:${this.ports.readiness}/ready`;
          return (await sendRequest(url, {timeoutMs: 1_000})).status === 200;
        },
        START_TIMEOUT_MS,
      );
    }
  }

  callersUrl({ip}, path) {
    return `http://${ip}:${this.ports.callers}${path}`;
  }

  /** Ends all processes that were started. */
  async stop() {
    this.isStopping = true;
    for (const {child} of this.nodes) child?.kill('SIGKILL');
    await waitFor(
      'all processes have ended',
      () => this.nodes.every(({child}) => !child),
      5_000,
    );
    rmSync(this.dir, {recursive: true, force: true});
  }

  ip(group, n) {
    return `${this.net}.${group}.${n}`;
  }

  settings({role, zone, ip, isFirst}) {
    const {callers, readiness, control, peers} = this.ports;
    const dataDir = join(this.dir, ip);
    if (role === 'core') mkdirSync(dataDir, {recursive: true});
    const lines = [
      `node_name=${role}-${ip}`,
      `role=${role}`,
      `machine_class=${role === 'core' ? 'core' : 'frontend'}`,
      `serves=${role === 'core' ? 'control' : 'frontend'}`,
      `ip=${ip}`,
      `zone=${zone}`,
      'region=almaty',
      ...ZONES.map(each => `zones.${each}=almaty`),
      ...(role === 'core'
        ? [`listen.control=${ip}:${control}`, `data_dir=${dataDir}`]
        : [
            `listen.frontend=${ip}:${callers}`,
            `listen.readiness=${ip}:${readiness}`,
          ]),
      `internal_port_range=${peers},${peers + 15}`,
      `seeds=${this.control.join(',')}`,
      `bootstrap=${isFirst}`,
      `in_tolerance=${role === 'core'}`,
      'limits.cpu_share=0.675',
      `limits.cpu_cores=${role === 'core' ? 2 : 1}`,
      'limits.memory_mb=350',
      'limits.max_open_files=4100',
      'discovery=registry',
      'entry=vip',
      'heartbeat_ms=1500',
      'fault_tolerance.machines=1',
      'fault_tolerance.zones=1',
      'fault_tolerance.regions=0',
      'bounds.contact_ms=3000',
      'bounds.ack_timeout_ms=4000',
      'bounds.grace_s=6',
      'bounds.loss_slack_ms=200',
      'bounds.config_apply_ms=2000',
      'bounds.max_hold_ms=1000',
      'bounds.stop_timeout_ms=50',
      'bounds.cancel_ms=3000',
      'bounds.remote_factor=2',
      'bounds.require_fencing=true',
      'bounds.lease_ms=3000',
      'bounds.retransmit_ms=1300',
      'config_mode=highest',
      'orders=call',
    ];
    return `${lines.join('\n')}\n`;
  }

  /** Finds a loopback network where all ports are free. */
  async choosePorts() {
    const [callers, readiness, control] = await freePorts(3);
    // 16 ports in a row, below the range of ephemeral ports.
    const peers = 7_720 + 16 * (process.pid % 100);
    this.ports = {callers, readiness, control, peers};
    const ports = [callers, readiness, control, peers, METRICS_PORT];
    for (let n = 0; n < MAX_NETS; n += 1) {
      this.net = `127.${10 + ((process.pid + 7 * n) % 200)}`;
      const ips = [1, 2, 3].flatMap(at => [this.ip(1, at), this.ip(2, 2 * at)]);
      const tries = ips.flatMap(ip => ports.map(port => isFree(ip, port)));
      if ((await Promise.all(tries)).every(each => each)) return;
    }
    throw new Error('no loopback network with free ports was found');
  }
}

/** Commands of the roles, as the deploy file has them. */
function readCommands() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const commandOf = role => {
    const section = text.split(`[roles.${role}]`)[1];
    return /^run = "(.*)"$/m.exec(section)[1].split(' ');
  };
  return {core: commandOf('core'), entry: commandOf('entry')};
}

async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({length: count}, () => listen('127.0.0.1', 0)),
  );
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(close));
  return ports;
}

async function isFree(host, port) {
  try {
    await close(await listen(host, port));
    return true;
  } catch {
    return false;
  }
}

function listen(host, port) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

function close(server) {
  return new Promise(resolve => server.close(resolve));
}
