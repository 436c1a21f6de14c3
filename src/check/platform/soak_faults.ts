import type {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {Clock} from '../../core/clock/clock.js';
import type {EmulatedDeployment} from '../../platform/emulator/emulated_deployment.js';
import type {EmulatedProcess} from '../../platform/emulator/emulated_process.js';

/** Kinds of faults; each is as likely as the number of its entries. */
const KINDS = [
  ...['kill', 'kill', 'stop', 'suspend', 'suspend', 'suspend'],
  ...['kill_cores', 'reload', 'config', 'burst'],
  ...['node_link', 'cut_node', 'cut_node', 'cut_zone'],
  ...['worker_crash', 'worker_crash', 'worker_late', 'worker_unhealthy'],
  ...['worker_link', 'worker_link'],
] as const;
const LINK_FAULTS = ['hold', 'hold', 'silence', 'reset', 'delay'] as const;
const DIRECTIONS = ['to_target', 'to_client', 'both'] as const;

const MIN_FAULT_MS = 100;
const MAX_FAULT_MS = 6_000;
const MAX_DOWN_MS = 3_000;
const MAX_DELAY_MS = 800;
/** Delay of orders that are executed late. */
const MAX_LATE_MS = 4_000;
/** Largest share of the workers that one fault hits. */
const MAX_WORKER_SHARE = 0.3;
const BURST_JOBS = 30;

type Kind = (typeof KINDS)[number];
type Direction = (typeof DIRECTIONS)[number];

interface SoakFault {
  readonly at: number;
  readonly text: string;
  until: number | undefined;
}

interface SoakFaultsOptions {
  readonly clock: Clock;
  readonly deployment: EmulatedDeployment;
  readonly random: SeededRandom;
  /** Sends a number of jobs at once. */
  readonly burst: (jobs: number) => void;
}

/** Draws faults and injects them from outside; they may overlap. */
export class SoakFaults {
  readonly faults: SoakFault[] = [];
  /** Faults that are not over. */
  private readonly open = new Set<Promise<void>>();

  constructor(private readonly opts: SoakFaultsOptions) {}

  /** Injects a fault, which ends by itself. */
  inject(kind: string = this.pick(KINDS)): void {
    const ms = this.opts.random.integerBetween(MIN_FAULT_MS, MAX_FAULT_MS);
    const done = this.run(kind as Kind, ms).finally(() => {
      this.open.delete(done);
    });
    this.open.add(done);
  }

  /** Resolves once all faults are over. */
  async waitUntilOver(): Promise<void> {
    await Promise.all(this.open);
  }

  private async run(kind: Kind, ms: number): Promise<void> {
    const {deployment, random} = this.opts;
    const target = this.pick(deployment.processes);
    const {address, zone} = target.opts;
    switch (kind) {
      case 'kill':
        return this.log(`${kind} ${address}`, this.kill(target));
      case 'stop':
        return this.log(`${kind} ${address}`, this.stop(target));
      case 'suspend':
        return this.log(`${kind} ${address} ${ms} ms`, target.suspend(ms));
      case 'kill_cores': {
        const kills = deployment.ofRole('core').map(each => this.kill(each));
        return this.log(kind, Promise.all(kills));
      }
      case 'reload':
        target.signal('SIGHUP');
        return this.log(`${kind} ${address}`, Promise.resolve());
      case 'config':
        return this.log(kind, deployment.publishConfig());
      case 'burst':
        this.opts.burst(BURST_JOBS);
        return this.log(kind, Promise.resolve());
      case 'node_link': {
        const other = this.pick(deployment.processes);
        if (other === target) return;
        const link = deployment.links.get(address, other.opts.address);
        const text = `${kind} ${address} to ${other.opts.address}`;
        return this.disturb(text, [link], ms);
      }
      case 'cut_node':
        return this.cut(`${kind} ${address}`, each => each === target, ms);
      case 'cut_zone':
        return this.cut(`${kind} ${zone}`, each => each.opts.zone === zone, ms);
      case 'worker_crash': {
        const keepsId = random.next() < 0.7;
        const crash = (n: number) => deployment.fleet.crash(n, ms, keepsId);
        const workers = this.pickWorkers();
        const text = `${kind} ${workers.join(',')} ${ms} ms`;
        return this.log(text, Promise.all(workers.map(crash)));
      }
      case 'worker_late':
      case 'worker_unhealthy':
        return this.disturbWorkers(kind, ms);
      case 'worker_link': {
        const workers = this.pickWorkers();
        const links = workers.map(n => deployment.fleet.link(n));
        return this.disturb(`${kind} ${workers.join(',')}`, links, ms);
      }
    }
  }

  private async kill(target: EmulatedProcess): Promise<void> {
    if (!target.isRunning) return;
    await target.kill();
    await this.sleep(this.opts.random.integerBelow(MAX_DOWN_MS));
    target.start();
  }

  private async stop(target: EmulatedProcess): Promise<void> {
    if (!target.isRunning) return;
    await target.stop();
    await this.sleep(this.opts.random.integerBelow(MAX_DOWN_MS));
    target.start();
  }

  private async disturb(
    text: string,
    links: readonly TcpRelay[],
    ms: number,
  ): Promise<void> {
    const kind = this.pick(LINK_FAULTS);
    const direction = this.pick(DIRECTIONS);
    const delayMs = this.opts.random.integerBetween(1, MAX_DELAY_MS);
    for (const link of links) {
      if (kind === 'hold') link.hold(direction);
      if (kind === 'silence') link.silence(direction);
      if (kind === 'reset') link.reset();
      if (kind === 'delay') link.delayMs = delayMs;
    }
    await this.log(`${text} ${kind} ${direction} ${ms} ms`, this.sleep(ms));
    for (const link of links) {
      if (kind === 'hold') link.restore();
      if (kind === 'delay') link.delayMs = 0;
    }
  }

  /** Cuts the links of some processes to all others, in one direction or both. */
  private async cut(
    text: string,
    isInside: (process: EmulatedProcess) => boolean,
    ms: number,
  ): Promise<void> {
    const {processes, links} = this.opts.deployment;
    const direction = this.pick(['in', 'out', 'both']);
    const cutLinks: TcpRelay[] = [];
    for (const inner of processes.filter(isInside)) {
      for (const outer of processes) {
        if (isInside(outer)) continue;
        const ends = [inner.opts.address, outer.opts.address] as const;
        const outgoing = links.get(ends[0], ends[1]);
        const incoming = links.get(ends[1], ends[0]);
        outgoing.hold(holdOf(direction, 'to_target'));
        incoming.hold(holdOf(direction, 'to_client'));
        cutLinks.push(outgoing, incoming);
      }
    }
    await this.log(`${text} ${direction} ${ms} ms`, this.sleep(ms));
    for (const link of cutLinks) link.restore();
  }

  private async disturbWorkers(
    kind: 'worker_late' | 'worker_unhealthy',
    ms: number,
  ): Promise<void> {
    const {deployment, random} = this.opts;
    const workers = this.pickWorkers();
    const fault = {
      kind: kind === 'worker_late' ? ('late' as const) : ('unhealthy' as const),
      delayMs: () => random.integerBelow(MAX_LATE_MS),
    };
    const {fleet} = deployment;
    const setFault = (value: typeof fault | undefined) => {
      for (const n of workers) {
        fleet.workers.setFault(fleet.place(n).address, value);
      }
    };
    setFault(fault);
    await this.log(`${kind} ${workers.join(',')} ${ms} ms`, this.sleep(ms));
    setFault(undefined);
  }

  private pickWorkers(): number[] {
    const {random, deployment} = this.opts;
    const {size} = deployment.fleet;
    const max = Math.max(1, Math.floor(size * MAX_WORKER_SHARE));
    const count = random.integerBetween(1, max);
    const picked = Array.from({length: count}, () => random.integerBelow(size));
    return [...new Set(picked)];
  }

  private async log(text: string, done: Promise<unknown>): Promise<void> {
    const {clock} = this.opts;
    const fault: SoakFault = {at: clock.now(), text, until: undefined};
    this.faults.push(fault);
    await done;
    fault.until = clock.now();
  }

  private pick<T>(values: readonly T[]): T {
    return values[this.opts.random.integerBelow(values.length)]!;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.opts.clock.schedule(ms, resolve));
  }
}

/** Direction to hold on a link whose outbound bytes flow in `outbound`. */
function holdOf(
  direction: string,
  outbound: 'to_target' | 'to_client',
): Direction {
  if (direction === 'both') return 'both';
  const inbound = outbound === 'to_target' ? 'to_client' : 'to_target';
  return direction === 'out' ? outbound : inbound;
}
