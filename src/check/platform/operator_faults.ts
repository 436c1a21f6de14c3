import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {Clock} from '../../core/clock/clock.js';
import type {EmulatedDeployment} from '../../platform/emulator/emulated_deployment.js';
import type {EmulatedProcess} from '../../platform/emulator/emulated_process.js';
import type {DisruptionLog} from './disruption_log.js';
import {disturbLinks} from './disturb_links.js';
import {FaultDeck} from './fault_deck.js';

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
/** Spread of the faults of a round. */
const MAX_OFFSET_MS = 1_500;

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
  readonly deck: FaultDeck;
  /** How often each kind took effect; the final fault is not counted. */
  readonly played = new Map<string, number>();
  final: string | undefined;
  /** Kinds that wait for acknowledgements. */
  private armed: Array<{kind: string; isFinal: boolean}> = [];
  /** Faults that are not over. */
  private readonly open = new Set<Promise<unknown>>();
  private disksLost = 0;
  private lastCoreFaultAt = 0;

  constructor(private readonly opts: FaultsOptions) {
    const {random, usesRelays} = opts;
    this.deck = new FaultDeck({random, usesRelays});
  }

  /** Injects the faults of a round, or arms them for the next acknowledgements. */
  async nextRound(): Promise<void> {
    for (let n = 0; n < FaultDeck.PER_ROUND; n += 1) {
      const kind = this.deck.next();
      if (FaultDeck.isAimed(kind)) this.armed.push({kind, isFinal: false});
      else this.inject(kind);
      await this.sleep(this.opts.random.integerBelow(MAX_OFFSET_MS));
    }
  }

  /** Gives up the faults that found no acknowledgement. */
  disarm(): void {
    for (const {kind} of this.armed) this.opts.log(`not played: ${kind}`);
    this.armed = [];
  }

  armFinal(): void {
    this.final = this.pick(FINAL);
    this.armed.push({kind: this.final, isFinal: true});
  }

  get isArmed(): boolean {
    return this.armed.length > 0;
  }

  /** Injects an armed fault at the node that has just acknowledged a change. */
  onAcknowledged(control: string): void {
    const acker = this.cores.find(({opts}) =>
      control.startsWith(`${opts.address}:`),
    );
    if (!acker) return;
    const at = this.armed.findIndex(
      ({kind, isFinal}) => isFinal || this.canPlay(kind, acker),
    );
    const [fault] = at < 0 ? [] : this.armed.splice(at, 1);
    if (fault) this.inject(fault.kind, acker, fault.isFinal);
  }

  /** Resolves once all faults are over. */
  async waitUntilOver(): Promise<void> {
    while (this.open.size > 0) await Promise.all(this.open);
  }

  private get cores(): EmulatedProcess[] {
    return this.opts.deployment.ofRole('core');
  }

  /** Whether an aimed fault would take effect at a node now. */
  private canPlay(kind: string, acker: EmulatedProcess): boolean {
    const {lostDisks, deployment} = this.opts;
    const free = lostDisks - this.disksLost;
    if (!acker.isRunning) return false;
    if (kind === 'replaceAcker') return free > 0 && deployment.hasSpare(acker);
    return !kind.startsWith('wipe') || free > 0;
  }

  private inject(
    kind: string,
    acker: EmulatedProcess = this.pick(this.cores),
    isFinal = false,
  ): void {
    this.opts.log(`fault ${kind} at ${acker.opts.address}`);
    const done = this.run(kind, acker, isFinal).then(hasEffect => {
      if (!hasEffect || isFinal) return;
      this.played.set(kind, (this.played.get(kind) ?? 0) + 1);
    });
    this.track(done);
  }

  /** Resolves once the fault is over to whether it took effect. */
  private async run(
    kind: string,
    acker: EmulatedProcess,
    isFinal: boolean,
  ): Promise<boolean> {
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
      case 'stopInTurn': {
        let hasEffect = false;
        for (const core of cores) {
          if (await this.stop(core)) hasEffect = true;
          await this.sleep(MAX_GAP_MS);
        }
        return hasEffect;
      }
      case 'suspendAcker':
        return this.suspend(acker, ms);
      case 'suspendLeader':
        return this.suspend(leading, ms);
      case 'suspendSome': {
        const count = random.integerBetween(1, 3);
        const some = Array.from({length: count}, () => this.pick(all));
        const work = [...new Set(some)].map(p => this.suspend(p, ms));
        return (await Promise.all(work)).includes(true);
      }
      case 'replaceAcker':
        return this.replace(acker);
      case 'reload':
        for (const process of all) process.signal('SIGHUP');
        return true;
      case 'exchangeSeeds':
        this.exchangeSeeds();
        return true;
      default:
        await this.disturbLinks(kind, acker);
        return true;
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
  ): Promise<boolean> {
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
    return running.length > 0 && (wiped.length === 0 || lost.length > 0);
  }

  private async stop(target: EmulatedProcess): Promise<boolean> {
    if (!target.isRunning) return false;
    const end = this.disrupt('stop', [target]);
    await target.stop();
    await this.sleep(this.opts.random.integerBelow(MAX_DOWN_MS));
    this.start([target]);
    end();
    return true;
  }

  private async suspend(target: EmulatedProcess, ms: number): Promise<boolean> {
    if (!target.isRunning) return false;
    const end = this.disrupt(`suspend ${ms}`, [target]);
    await target.suspend(ms);
    end();
    return true;
  }

  /** Replaces a core process by an empty one, and the seeds as well. */
  private async replace(target: EmulatedProcess): Promise<boolean> {
    if (!target.isRunning) return false;
    const [lost] = this.takeDisks([target]);
    if (!lost) return false;
    const end = this.disrupt('replace', [target]);
    const spare = await this.opts.deployment.replaceCore(target);
    end();
    this.opts.log(`replaced by ${spare?.opts.address}`);
    if (spare) {
      this.disrupt('start', [spare])();
      this.exchangeSeeds();
    }
    this.track(this.returnDisks(1));
    return spare !== undefined;
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
    const links = inner.flatMap(({opts: {address: a}}) =>
      outer.map(({opts: {address: b}}) => {
        const {links} = deployment;
        return {outgoing: links.get(a, b), incoming: links.get(b, a)};
      }),
    );
    const isCut = kind.startsWith('cut');
    const direction = this.pick(['in', 'out', 'both'] as const);
    const ms = isCut ? random.integerBetween(100, MAX_CUT_MS) : 0;
    const end = this.disrupt(`${kind} ${direction} ${ms}`, inner, {
      isLinkFault: kind !== 'cutEntry',
    });
    const restore = disturbLinks(links, kind, direction);
    await this.sleep(ms);
    restore();
    end();
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
