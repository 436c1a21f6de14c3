import {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import type {ConfigNode} from '../../core/config/config_node.js';
import {ChangeHistory} from './change_history.js';
import type {Scenario} from './scenario.js';

type Kind = Scenario['commands'][number]['kind'];
type Command = Scenario['commands'][number];

/** Simulated time within which a healed deployment must agree. */
const SETTLE_MS = 60_000;
const OBSERVE_MS = 20;
const LOSS_RATES = [0, 0.05, 0.2, 0.5];
const MAX_DELAYS_MS = [1.5, 50, 400, 2_000];

/** Runs one scenario over fake daemons and records what happened. */
export class ConfigRun {
  readonly history = new ChangeHistory();
  /** Faults that were injected, and requests, by kind. */
  readonly counts = new Map<Kind, number>();
  private readonly bench: ConfigBench;
  private readonly sent: Array<{key: string; expected: number}> = [];
  /** Nodes whose disk failed: they may lose what they applied meanwhile. */
  private readonly unreliable = new Set<string>();

  constructor(private readonly scenario: Scenario) {
    this.bench = new ConfigBench({
      voters: scenario.voters,
      spares: 1,
      followers: 1,
      seed: scenario.seed,
      snapshotEntries: scenario.snapshotEntries,
    });
    this.bench.onStart = (id, node) => this.watch(id, node);
  }

  run(): void {
    const {bench} = this;
    bench.startAll();
    this.observe();
    for (const command of this.scenario.commands) {
      if (this.perform(command)) {
        this.counts.set(command.kind, (this.counts.get(command.kind) ?? 0) + 1);
      }
      bench.clock.advance(command.waitMs);
    }
    this.settle();
  }

  private perform(command: Command): boolean {
    const {bench} = this;
    const {a, b} = command;
    const id = bench.ids[a % bench.ids.length]!;
    const stored = [...bench.disks.keys()];
    const disk = stored[a % stored.length]!;
    const isUp = bench.running.has(id);
    switch (command.kind) {
      case 'change':
        return isUp && this.change(id, b);
      case 'resend':
        return isUp && this.resend(id, b);
      case 'read':
        return isUp && this.read(id);
      case 'crash':
      case 'kill':
        return isUp && this.end(command.kind, id);
      case 'restart':
        return this.restart(a);
      case 'lose_disk':
        return this.loseDisk(disk);
      case 'cut': {
        const others = bench.ids.filter(x => x !== id);
        const second = others[b % others.length]!;
        bench.peers.isolate(b % 2 ? [id] : [id, second], bench.ids);
        return true;
      }
      case 'cut_one_way':
        bench.peers.cut(id, bench.ids[b % bench.ids.length]!);
        return true;
      case 'heal':
        bench.peers.heal();
        return true;
      case 'loss':
        bench.peers.loss = LOSS_RATES[a % LOSS_RATES.length]!;
        return true;
      case 'delay':
        bench.peers.maxDelayMs = MAX_DELAYS_MS[a % MAX_DELAYS_MS.length]!;
        return true;
      case 'disk_full':
        bench.disks.get(disk)!.isFull = true;
        this.unreliable.add(disk);
        return true;
      case 'disk_sync_failure':
        bench.disks.get(disk)!.failingSyncs = 1 + (b % 2);
        this.unreliable.add(disk);
        return true;
      case 'disk_mend':
        this.mendDisks();
        return true;
      case 'transfer': {
        const {leader} = bench;
        if (leader === undefined) return false;
        bench.node(leader).transferLeadership(bench.clock.now());
        return true;
      }
      case 'replace':
        return isUp && this.replace(id, b);
    }
  }

  private change(id: string, b: number): boolean {
    // Operators start from what they see, which may be out of date.
    const seen = b % 3 === 0 ? this.bench.version(id) : this.history.floor;
    const key = `k${this.sent.length + 1}`;
    this.sent.push({key, expected: seen});
    this.send(id, key, seen);
    return true;
  }

  private resend(id: string, b: number): boolean {
    const earlier = this.sent[b % Math.max(1, this.sent.length)];
    if (!earlier) return false;
    this.send(id, earlier.key, earlier.expected);
    return true;
  }

  private send(id: string, key: string, expected: number): void {
    const {bench, history} = this;
    const record = history.sent(key, expected, bench.clock.now());
    const change = ConfigBench.changeOf(key, expected, key);
    const node = bench.node(id);
    node.submit({kind: 'change', change}, bench.clock.now(), answer => {
      const at = bench.clock.now();
      if ('code' in answer) {
        const isUnknown = answer.outcome === 'outcome_unknown';
        history.unavailable(record, isUnknown);
      } else if (answer.kind === 'accepted') {
        history.accepted(record, answer.version, at);
      } else if (answer.kind === 'refused') {
        const {code} = answer.refusal;
        if (code === 'unavailable') history.unavailable(record, false);
        else history.refused(record, code, at);
      } else history.report(`${key}: an answer of kind ${answer.kind}`);
    });
  }

  private read(id: string): boolean {
    const {bench, history} = this;
    const calledAt = bench.clock.now();
    const {floor} = history;
    bench.node(id).submit({kind: 'read'}, calledAt, answer => {
      if (!('kind' in answer) || answer.kind !== 'config') return;
      history.read(calledAt, floor, answer.config, bench.clock.now());
    });
    return true;
  }

  private end(kind: 'crash' | 'kill', id: string): boolean {
    this.bench[kind](id);
    if (!this.bench.disks.has(id) || this.unreliable.has(id)) {
      this.history.forgot(id);
    }
    return true;
  }

  private restart(a: number): boolean {
    const down = this.bench.ids.filter(id => !this.bench.running.has(id));
    const id = down[a % Math.max(1, down.length)];
    if (id === undefined) return false;
    const started = this.bench.start(id);
    if (started.isErr) this.history.report(`${id}: ${started.error}`);
    return true;
  }

  /**
   * Loses a folder, if every voter has its own: a second loss before the repair
   * of the first may take the last copy, which no log survives.
   */
  private loseDisk(id: string): boolean {
    const {bench} = this;
    const {leader} = bench;
    if (leader === undefined || !bench.running.has(id)) return false;
    const log = bench.node(leader).logMember!;
    const {members, membersIndex} = log.store;
    const isRepaired =
      !members.replacing &&
      members.voters.length >= 3 &&
      log.commitIndex >= membersIndex &&
      members.voters.every(m => {
        const progress = log.leader!.progressOf(m);
        const isSelf = m.storage === log.id.storage;
        return isSelf || (progress?.matchIndex ?? 0) >= log.commitIndex;
      }) &&
      members.voters.every(m => {
        const node = bench.running.get(m.node);
        return node?.logMember?.id.storage === m.storage;
      });
    if (!isRepaired) return false;
    bench.crashAndWipe(id);
    const disk = bench.disks.get(id)!;
    disk.isFull = false;
    disk.failingSyncs = 0;
    this.unreliable.delete(id);
    this.history.forgot(id);
    return true;
  }

  private replace(id: string, b: number): boolean {
    const {bench} = this;
    const stored = [...bench.disks.keys()];
    const request = {
      op: 'replace',
      old: stored[b % stored.length]!,
      next: stored[(b + 1) % stored.length]!,
    } as const;
    const now = bench.clock.now();
    bench.node(id).submit({kind: 'members', request}, now, () => undefined);
    return true;
  }

  private mendDisks(): void {
    for (const disk of this.bench.disks.values()) {
      disk.isFull = false;
      disk.failingSyncs = 0;
    }
  }

  /** Ends all faults; everybody must then agree on one configuration. */
  private settle(): void {
    const {bench, history} = this;
    bench.peers.heal();
    bench.peers.loss = 0;
    bench.peers.maxDelayMs = 1.5;
    this.mendDisks();
    for (let n = 0; n < bench.ids.length; n += 1) this.restart(0);
    bench.clock.advance(SETTLE_MS);
    const {leader} = bench;
    if (leader === undefined) {
      history.report('no leader after all faults ended');
      return;
    }
    const state = bench.node(leader).logMember!.state!;
    const {version} = state.current;
    const behind = bench.ids.filter(id => bench.version(id) !== version);
    if (behind.length > 0) {
      const detail = behind.map(id => `${id} at ${bench.version(id)}`).join();
      history.report(`not in force after all faults ended: ${detail}`);
    }
    history.conclude(state.current, state.toSnapshot().class_versions);
  }

  private watch(id: string, node: ConfigNode): void {
    const {source} = node;
    if (source.current().version > 0) {
      this.history.applied(id, source.current());
    } else if (this.bench.disks.has(id)) {
      this.history.applied(id, source.current());
    }
    source.onChange(config => this.history.applied(id, config));
  }

  /** Notes who leads in which term. */
  private observe(): void {
    for (const [id, node] of this.bench.running) {
      if (node.logMember?.leader) this.history.led(id, node.logMember.term);
    }
    this.bench.clock.schedule(OBSERVE_MS, () => this.observe());
  }
}
