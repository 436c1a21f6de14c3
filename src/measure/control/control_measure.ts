import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Command, InvalidArgumentError} from 'commander';
import {findFreePorts} from '../../../test-support/cluster/find_free_ports.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import type {ControlPlan} from './control_plan.js';
import type {ControlSample} from './control_sample.js';

const NODE = fileURLToPath(new URL('./control_node.js', import.meta.url));
const VOTERS = 3;
const TENANTS = 590;
const CLASSES = 20;
/** Changes of one day at the growth size. */
const CHANGES_PER_DAY = 6_700;
const DAY_S = 86_400;
const WARM_UP_S = 5;

interface ControlOptions {
  readonly nodes: number;
  readonly seconds: number;
  readonly factor: number;
}

/** The command `control`: what the configuration costs each node. */
export function controlMeasure(): Command {
  return new Command('control')
    .description('Cost of the configuration per node, idle and with changes.')
    .option('--nodes <n>', 'daemons, 3 of which vote', toPositive, 8)
    .option('--seconds <n>', 'length of each phase', toPositive, 30)
    .option('--factor <n>', 'acceleration of the changes', toPositive, 100)
    .action(async (opts: ControlOptions) => {
      const links = await new ControlRun(opts, 0).run();
      const report = await new ControlRun(opts, VOTERS).run();
      console.log(JSON.stringify({...report, ...links}));
    });
}

class ControlRun {
  private readonly children: ChildProcess[] = [];
  private nextId = 1;

  constructor(
    private readonly opts: ControlOptions,
    /** With none, the configuration is fixed and only the links cost. */
    private readonly voters: number,
  ) {}

  async run(): Promise<object> {
    const {nodes, seconds, factor} = this.opts;
    const dir = mkdtempSync(join(tmpdir(), 'pimento-control-'));
    try {
      await this.startAll(dir);
      if (this.voters > 0) await this.load();
      await sleep(WARM_UP_S);
      const start = await this.sampleAll();
      await sleep(seconds);
      const idle = await this.sampleAll();
      if (this.voters === 0) {
        return {links_only_idle: costOf(start, idle, 1, undefined)};
      }
      const changes = await this.change(start[0]!.version);
      const busy = await this.sampleAll();
      return {
        measure: 'control',
        nodes,
        voters: this.voters,
        tenants: TENANTS,
        seconds,
        factor,
        changes,
        idle: costOf(start, idle, 1, undefined),
        changing_at_real_rate: costOf(idle, busy, factor, {start, idle}),
        bytes: 'TCP payload of both directions, without headers',
      };
    } finally {
      for (const child of this.children) child.disconnect();
      await Promise.all(
        this.children.map(
          child => new Promise(resolve => child.once('exit', resolve)),
        ),
      );
      rmSync(dir, {recursive: true, force: true});
    }
  }

  private async startAll(dir: string): Promise<void> {
    const ports = await findFreePorts(this.opts.nodes);
    const nodes: ControlPlan['nodes'] = ports.map((port, at) => ({
      id: `n${at + 1}`,
      voter: at < this.voters,
      port,
    }));
    for (const {id} of nodes) {
      const plan: ControlPlan = {node: id, dir, nodes};
      this.children.push(fork(NODE, [JSON.stringify(plan)]));
    }
    await this.untilVersion(1);
  }

  /** Brings the configuration to the growth size. */
  private async load(): Promise<void> {
    const change = {
      key: 'load',
      expected_version: 1,
      put_tenants: Array.from({length: TENANTS}, (_, at) => ({
        name: `tenant-${at}`,
        quota_slots: 1 + (at % 64),
      })),
      put_classes: Array.from({length: CLASSES}, (_, at) => ({
        name: `class-${at}`,
        target_ms: 1_000,
      })),
    };
    await this.ask(this.children[0]!, {change});
    await this.untilVersion(2);
  }

  private async change(version: number): Promise<number> {
    const {seconds, factor} = this.opts;
    const perSecond = (CHANGES_PER_DAY / DAY_S) * factor;
    const end = performance.now() + seconds * 1_000;
    let accepted = 0;
    for (let at = 0; performance.now() < end; at += 1) {
      const next = performance.now() + 1_000 / perSecond;
      const change = {
        key: `change-${at}`,
        expected_version: version + accepted,
        put_tenants: [{name: `tenant-${at % TENANTS}`, quota_slots: 1 + at}],
      };
      const child = this.children[at % this.children.length]!;
      if (await this.ask<boolean>(child, {change})) accepted += 1;
      const rest = next - performance.now();
      if (rest > 0) await sleep(rest / 1_000);
    }
    await this.untilVersion(version + accepted);
    return accepted;
  }

  private untilVersion(version: number): Promise<void> {
    return waitUntil(`version ${version}`, async () => {
      const samples = await this.sampleAll();
      return samples.every(s => s.version === version);
    });
  }

  private sampleAll(): Promise<ControlSample[]> {
    return Promise.all(
      this.children.map(child => this.ask<ControlSample>(child, {})),
    );
  }

  private ask<T>(child: ChildProcess, body: object): Promise<T> {
    const id = this.nextId;
    this.nextId += 1;
    return new Promise(resolve => {
      const listen = (message: {id: number; result: T}) => {
        if (message.id !== id) return;
        child.off('message', listen);
        resolve(message.result);
      };
      child.on('message', listen);
      child.send({id, ...body});
    });
  }
}

/**
 * Cost per node: the highest and the mean. With a factor, what exceeds the idle
 * cost is divided by it.
 */
function costOf(
  from: readonly ControlSample[],
  to: readonly ControlSample[],
  factor: number,
  base:
    | {start: readonly ControlSample[]; idle: readonly ControlSample[]}
    | undefined,
): object {
  const rates = to.map((sample, at) => {
    const rate = rateOf(from[at]!, sample);
    if (!base) return rate;
    const idle = rateOf(base.start[at]!, base.idle[at]!);
    const scale = (value: number, floor: number) =>
      floor + (value - floor) / factor;
    return {
      cpu: scale(rate.cpu, idle.cpu),
      net: scale(rate.net, idle.net),
      heap: scale(rate.heap, idle.heap),
    };
  });
  const summary = (pick: (rate: (typeof rates)[number]) => number) => {
    const values = rates.map(pick);
    const mean = values.reduce((a, b) => a + b, 0) / values.length;
    return {max: round(Math.max(...values)), mean: round(mean)};
  };
  return {
    core_percent: summary(r => r.cpu),
    bytes_per_s: summary(r => r.net),
    heap_growth_bytes_per_s: summary(r => r.heap),
  };
}

function rateOf(from: ControlSample, to: ControlSample) {
  const wallMs = to.wallMs - from.wallMs;
  return {
    cpu: (100 * (to.cpuMs - from.cpuMs)) / wallMs,
    net: (1_000 * (to.netBytes - from.netBytes)) / wallMs,
    heap: (1_000 * (to.heapBytes - from.heapBytes)) / wallMs,
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function sleep(seconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, seconds * 1_000));
}

function toPositive(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value > 0) return value;
  throw new InvalidArgumentError('expected a positive whole number');
}
