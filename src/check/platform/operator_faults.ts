import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import type {Clock} from '../../core/clock/clock.js';
import type {EmulatedDeployment} from '../../platform/emulator/emulated_deployment.js';
import type {EmulatedProcess} from '../../platform/emulator/emulated_process.js';
import type {DisruptionLog} from './disruption_log.js';

/** Faults that are injected in the turn in which an acknowledgement arrives. */
const AIMED = [
  ...['killAcker', 'killAckerAndLeader', 'wipeAcker', 'wipeAckerAndLeader'],
  ...['wipeSomeKillCores', 'wipeSomeKillAll', 'killCores', 'killCores'],
  ...['killAll', 'stopAcker', 'suspendAcker', 'suspendLeader', 'replaceAcker'],
] as const;
const OTHER = ['stopInTurn', 'suspendSome', 'reload', 'exchangeSeeds'] as const;
const LINK_FAULTS = ['cutCore', 'cutZone', 'cutEntry', 'reset', 'silence'];
const FINAL = ['killAll', 'killCores', 'wipeSomeKillCores', 'wipeSomeKillAll'];

const MIN_SUSPENSION_MS = 1_000;
const MAX_SUSPENSION_MS = 8_000;
const MAX_DOWN_MS = 3_000;
/** Time within which processes that were killed together are back. */
const MAX_SHORT_DOWN_MS = 1_000;
const MAX_CUT_MS = 6_000;
/** A lost disk counts as lost for this time after the core is whole again. */
const CATCH_UP_MS = 6_000;
const MAX_GAP_MS = 1_300;

interface FaultsOptions {
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly deployment: EmulatedDeployment;
  readonly disruptions: DisruptionLog;
  readonly lostDisks: number;
  readonly usesRelays: boolean;
  /** Address of the last known leader. */
  readonly leader: () => string | undefined;
  readonly log: (text: string) => void;
}

/** Draws faults, most of them aimed at acknowledgements, and injects them. */
export class OperatorFaults {
  private armed: {kind: string; isFinal: boolean} | undefined;
  /** Faults that are not over. */
  private readonly open = new Set<Promise<unknown>>();
  private disksLost = 0;
  private lastCoreFaultAt = 0;

  constructor(private readonly opts: FaultsOptions) {}

  /** Injects a fault now, or arms one for the next acknowledgement. */
  next(): void {
    const {random, usesRelays} = this.opts;
    const draw = random.next();
    if (draw < 0.6) this.arm(this.pick(AIMED));
    else if (draw < 0.85 && usesRelays) this.inject(this.pick(LINK_FAULTS));
    else this.inject(this.pick(OTHER));
  }

  armFinal(): void {
    this.arm(this.pick(FINAL), true);
  }

  get isArmed(): boolean {
    return this.armed !== undefined;
  }

  /** Injects the armed fault at the node that has just acknowledged a change. */
  onAcknowledged(control: string): void {
    const {armed} = this;
    if (!armed) return;
    this.armed = undefined;
    const acker = this.cores.find(({opts}) =>
      control.startsWith(`${opts.address}:`),
    );
    this.inject(armed.kind, acker, armed.isFinal);
  }

  /** Resolves once all faults are over. */
  async waitUntilOver(): Promise<void> {
    while (this.open.size > 0) await Promise.all(this.open);
  }

  private get cores(): EmulatedProcess[] {
    return this.opts.deployment.ofRole('core');
  }

  private arm(kind: string, isFinal = false): void {
    this.armed = {kind, isFinal};
  }

  private inject(
    kind: string,
    acker: EmulatedProcess = this.pick(this.cores),
    isFinal = false,
  ): void {
    this.opts.log(`fault ${kind} at ${acker.opts.address}`);
    this.track(this.run(kind, acker, isFinal));
  }

  private async run(
    kind: string,
    acker: EmulatedProcess,
    isFinal: boolean,
  ): Promise<unknown> {
    const {random, deployment, leader} = this.opts;
    const {cores} = this;
    const leading = cores.find(({opts}) => opts.address === leader()) ?? acker;
    const downMs = random.integerBelow(MAX_DOWN_MS);
    const shortMs = random.integerBelow(MAX_SHORT_DOWN_MS);
    const ms = random.integerBetween(MIN_SUSPENSION_MS, MAX_SUSPENSION_MS);
    const both = [...new Set([acker, leading])];
    const all = [...deployment.processes];
    switch (kind) {
      case 'killAcker':
        return this.kill(kind, [acker], {downMs});
      case 'killAckerAndLeader':
        return this.kill(kind, both, {downMs});
      case 'wipeAcker':
        return this.kill(kind, [acker], {downMs, wiped: [acker]});
      case 'wipeAckerAndLeader':
        return this.kill(kind, both, {downMs, wiped: both});
      case 'wipeSomeKillCores':
        return this.kill(kind, cores, {downMs, wiped: both, isFinal});
      case 'wipeSomeKillAll':
        return this.kill(kind, all, {downMs, wiped: both, isFinal});
      case 'killCores':
        return this.kill(kind, cores, {downMs: shortMs, isFinal});
      case 'killAll':
        return this.kill(kind, all, {downMs: shortMs, isFinal});
      case 'stopAcker':
        return this.stop(acker);
      case 'stopInTurn':
        for (const core of cores) {
          await this.stop(core);
          await this.sleep(MAX_GAP_MS);
        }
        return;
      case 'suspendAcker':
        return this.suspend(acker, ms);
      case 'suspendLeader':
        return this.suspend(leading, ms);
      case 'suspendSome': {
        const count = random.integerBetween(1, 3);
        const some = Array.from({length: count}, () => this.pick(all));
        return Promise.all([...new Set(some)].map(p => this.suspend(p, ms)));
      }
      case 'replaceAcker':
        return this.replace(acker);
      case 'reload':
        for (const process of all) process.signal('SIGHUP');
        return;
      case 'exchangeSeeds':
        return this.exchangeSeeds();
      default:
        return this.disturbLinks(kind, acker);
    }
  }

  /** Kills processes at the same moment and starts them again. */
  private async kill(
    kind: string,
    targets: readonly EmulatedProcess[],
    opts: {
      downMs: number;
      wiped?: readonly EmulatedProcess[];
      isFinal?: boolean;
    },
  ): Promise<void> {
    const running = targets.filter(({isRunning}) => isRunning);
    const {wiped = [], downMs, isFinal = false} = opts;
    const lost = this.takeDisks(wiped.filter(p => running.includes(p)));
    const end = this.disrupt(kind, running, {isFinal});
    await Promise.all(running.map(each => each.kill()));
    for (const process of lost) process.wipe();
    const names = lost.map(({opts}) => opts.address);
    this.opts.log(
      `${kind}: ${running.length} killed, wiped ${names.join(',')}`,
    );
    await this.sleep(downMs);
    this.start(running);
    end();
    if (lost.length > 0) this.track(this.returnDisks(lost.length));
  }

  private async stop(target: EmulatedProcess): Promise<void> {
    if (!target.isRunning) return;
    const end = this.disrupt('stop', [target]);
    await target.stop();
    await this.sleep(this.opts.random.integerBelow(MAX_DOWN_MS));
    this.start([target]);
    end();
  }

  private async suspend(target: EmulatedProcess, ms: number): Promise<void> {
    if (!target.isRunning) return;
    const end = this.disrupt(`suspend ${ms}`, [target]);
    await target.suspend(ms);
    end();
  }

  /** Replaces a core process by an empty one, and the seeds as well. */
  private async replace(target: EmulatedProcess): Promise<void> {
    if (!target.isRunning) return;
    const [lost] = this.takeDisks([target]);
    if (!lost) return;
    const end = this.disrupt('replace', [target]);
    const spare = await this.opts.deployment.replaceCore(target);
    end();
    this.opts.log(`replaced by ${spare?.opts.address}`);
    if (spare) {
      this.disrupt('start', [spare])();
      this.exchangeSeeds();
    }
    this.track(this.returnDisks(1));
  }

  private exchangeSeeds(): void {
    const {deployment, random} = this.opts;
    const controls = deployment.controls();
    const from = random.integerBelow(controls.length);
    const seeds = [...controls, ...controls].slice(from, from + 3);
    for (const process of deployment.processes) process.replaceSeeds(seeds);
    this.opts.log(`seeds ${seeds.join(',')}`);
  }

  private async disturbLinks(
    kind: string,
    core: EmulatedProcess,
  ): Promise<void> {
    const {deployment, random} = this.opts;
    const entry = this.pick(deployment.ofRole('entry'));
    const {zone} = core.opts;
    const isInside = (process: EmulatedProcess) => {
      if (kind === 'cutZone') return process.opts.zone === zone;
      return process === (kind === 'cutEntry' ? entry : core);
    };
    const [inner, outer] = [true, false].map(value =>
      deployment.processes.filter(p => isInside(p) === value),
    ) as [EmulatedProcess[], EmulatedProcess[]];
    const links = inner.flatMap(a =>
      outer.map(b => this.linksOf(a.opts.address, b.opts.address)),
    );
    const isCut = kind.startsWith('cut');
    const direction = this.pick(['in', 'out', 'both'] as const);
    const ms = isCut ? random.integerBetween(100, MAX_CUT_MS) : 0;
    const end = this.disrupt(`${kind} ${direction} ${ms}`, inner, {
      isLinkFault: kind !== 'cutEntry',
    });
    for (const {outgoing, incoming} of links) {
      if (kind === 'reset') for (const l of [outgoing, incoming]) l.reset();
      else if (kind === 'silence') outgoing.silence('both');
      else if (direction === 'both') {
        for (const l of [outgoing, incoming]) l.hold('both');
      } else {
        outgoing.hold(direction === 'out' ? 'to_target' : 'to_client');
        incoming.hold(direction === 'out' ? 'to_client' : 'to_target');
      }
    }
    await this.sleep(ms);
    for (const {outgoing, incoming} of isCut ? links : []) {
      outgoing.restore();
      incoming.restore();
    }
    end();
  }

  private linksOf(
    a: string,
    b: string,
  ): Record<string, TcpRelay> & {
    outgoing: TcpRelay;
    incoming: TcpRelay;
  } {
    const {links} = this.opts.deployment;
    return {outgoing: links.get(a, b), incoming: links.get(b, a)};
  }

  /** Records a disruption; the result ends it. */
  private disrupt(
    text: string,
    targets: readonly EmulatedProcess[],
    opts: {isLinkFault?: boolean; isFinal?: boolean} = {},
  ): () => void {
    const {clock, disruptions, log} = this.opts;
    const addresses = (role: string) =>
      targets.filter(p => p.opts.role === role).map(p => p.opts.address);
    const names = targets.map(p => p.opts.address).join(',');
    const disruption = disruptions.add(clock.now(), `${text} ${names}`, {
      ...{cores: addresses('core'), entries: addresses('entry'), ...opts},
    });
    log(`begin ${text} ${names}`);
    const isCore = disruption.cores.size > 0;
    if (isCore) this.lastCoreFaultAt = Number.POSITIVE_INFINITY;
    return () => {
      disruption.until = clock.now();
      log(`end ${text} ${names}`);
      const lasts = disruptions.disruptions.some(
        ({cores, until}) => cores.size > 0 && !isFinite(until),
      );
      if (isCore && !lasts) this.lastCoreFaultAt = clock.now();
    };
  }

  /** As many of the processes as may lose their disks now. */
  private takeDisks(wanted: readonly EmulatedProcess[]): EmulatedProcess[] {
    const taken = wanted.slice(0, this.opts.lostDisks - this.disksLost);
    this.disksLost += taken.length;
    return taken;
  }

  private async returnDisks(count: number): Promise<void> {
    const {clock} = this.opts;
    while (clock.now() < this.lastCoreFaultAt + CATCH_UP_MS) {
      await this.sleep(100);
    }
    this.disksLost -= count;
  }

  private start(targets: readonly EmulatedProcess[]): void {
    for (const each of targets) {
      if (!each.isRunning) each.start();
    }
  }

  private track(work: Promise<unknown>): void {
    const done = work.finally(() => this.open.delete(done));
    this.open.add(done);
  }

  private pick<T>(values: readonly T[]): T {
    return values[this.opts.random.integerBelow(values.length)]!;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.opts.clock.schedule(ms, resolve));
  }
}
