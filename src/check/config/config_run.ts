import {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import type {ConfigNode} from '../../core/config/config_node.js';
import type {LogRequest} from '../../core/config/router/log_request.js';
import {ChangeHistory} from './change_history.js';
import {OrderHistory} from './order_history.js';
import type {Scenario} from './scenario.js';

type CommandKind = Scenario['commands'][number]['kind'];
type Command = Scenario['commands'][number];

/** Simulated time for all daemons to agree after all faults have ended. */
const RECOVERY_TIMEOUT_MS = 60_000;
const LEADER_POLL_INTERVAL_MS = 20;
/** Few, so that orders for one zone race. */
const ZONES = ['a', 'b'];
/** Of this many callers of orders, one leaves after `LEAVE_MS`. */
const CALLERS_PER_LEAVE = 4;
const LEAVE_MS = 600;
/** An order must be answered within this time in every case. */
const ORDER_LIMIT_MS = 5_000;
/** Share of evacuation orders of which a copy arrives late, and how late. */
const COPY_RATE = 0.5;
const MAX_COPY_DELAY_MS = 12_000;
const LOSS_RATES = [0, 0.05, 0.2, 0.5];
const MAX_DELAYS_MS = [1.5, 50, 400, 2_000];

/** Runs one scenario on fake daemons and records its history. */
export class ConfigRun {
  readonly orders = new OrderHistory();
  readonly history = new ChangeHistory(this.orders);
  /** Number of executed commands by kind. */
  readonly counts = new Map<CommandKind, number>();
  private readonly bench: ConfigBench;
  private readonly submittedChanges: Array<{key: string; expected: number}> =
    [];
  /** Nodes whose disk has failed, so a restart may lose applied versions. */
  private readonly nodesWithDiskFaults = new Set<string>();

  constructor(private readonly scenario: Scenario) {
    this.bench = new ConfigBench({
      voters: scenario.voters,
      spares: 1,
      followers: 1,
      seed: scenario.seed,
      snapshotEntries: scenario.snapshotEntries,
    });
    this.bench.onStart = (id, node) => this.watchConfig(id, node);
    this.bench.peers.copyDelay = (kind, body) => this.copyDelay(kind, body);
  }

  run(): void {
    const {bench} = this;
    bench.startAll();
    this.pollLeaders();
    for (const command of this.scenario.commands) {
      if (this.execute(command)) {
        this.counts.set(command.kind, (this.counts.get(command.kind) ?? 0) + 1);
      }
      bench.clock.advance(command.waitMs);
    }
    this.healAndCheck();
  }

  private execute(command: Command): boolean {
    const {bench} = this;
    const {index, otherIndex} = command;
    const id = bench.ids[index % bench.ids.length]!;
    const nodesWithDisk = [...bench.disks.keys()];
    const diskNode = nodesWithDisk[index % nodesWithDisk.length]!;
    const isUp = bench.running.has(id);
    switch (command.kind) {
      case 'change':
        return isUp && this.submitChange(id, otherIndex);
      case 'resend':
        return isUp && this.resubmitChange(id, otherIndex);
      case 'evacuation':
        return isUp && this.submitOrder(id, otherIndex);
      case 'read':
        return isUp && this.submitRead(id);
      case 'crash':
      case 'kill':
        return isUp && this.stopNode(command.kind, id);
      case 'restart':
        return this.restartNode(index);
      case 'lose_disk':
        return this.loseDisk(diskNode);
      case 'cut': {
        const otherNodes = bench.ids.filter(x => x !== id);
        const otherNode = otherNodes[otherIndex % otherNodes.length]!;
        bench.peers.isolate(otherIndex % 2 ? [id] : [id, otherNode], bench.ids);
        return true;
      }
      case 'cut_one_way':
        bench.peers.cut(id, bench.ids[otherIndex % bench.ids.length]!);
        return true;
      case 'heal':
        bench.peers.heal();
        return true;
      case 'loss':
        bench.peers.loss = LOSS_RATES[index % LOSS_RATES.length]!;
        return true;
      case 'delay':
        bench.peers.maxDelayMs = MAX_DELAYS_MS[index % MAX_DELAYS_MS.length]!;
        return true;
      case 'disk_full':
        bench.disks.get(diskNode)!.isFull = true;
        this.nodesWithDiskFaults.add(diskNode);
        return true;
      case 'disk_sync_failure':
        bench.disks.get(diskNode)!.failingSyncs = 1 + (otherIndex % 2);
        this.nodesWithDiskFaults.add(diskNode);
        return true;
      case 'disk_mend':
        this.repairDisks();
        return true;
      case 'transfer': {
        const {leader} = bench;
        if (leader === undefined) return false;
        bench.node(leader).transferLeadership(bench.clock.now());
        return true;
      }
      case 'replace':
        return isUp && this.submitReplacement(id, otherIndex);
    }
  }

  private submitChange(id: string, otherIndex: number): boolean {
    // Operators edit the version that they read, which may be outdated.
    const expected =
      otherIndex % 3 === 0 ? this.bench.version(id) : this.history.floor;
    const key = `k${this.submittedChanges.length + 1}`;
    this.submittedChanges.push({key, expected: expected});
    this.submit(id, key, expected);
    return true;
  }

  private resubmitChange(id: string, otherIndex: number): boolean {
    const earlier =
      this.submittedChanges[
        otherIndex % Math.max(1, this.submittedChanges.length)
      ];
    if (!earlier) return false;
    this.submit(id, earlier.key, earlier.expected);
    return true;
  }

  private submit(id: string, key: string, expected: number): void {
    const {bench, history} = this;
    const record = history.recordSend(key, expected, bench.clock.now());
    const change = ConfigBench.changeOf(key, expected, key);
    const node = bench.node(id);
    node.submit({kind: 'change', change}, bench.clock.now(), answer => {
      const at = bench.clock.now();
      if ('code' in answer) {
        const isUnknown = answer.outcome === 'outcome_unknown';
        history.recordUnavailable(record, isUnknown);
      } else if (answer.kind === 'accepted') {
        history.recordAccepted(record, answer.version, at);
      } else if (answer.kind === 'refused') {
        const {code} = answer.refusal;
        if (code === 'unavailable') history.recordUnavailable(record, false);
        else history.recordRefused(record, code, at);
      } else history.report(`${key}: unexpected answer of kind ${answer.kind}`);
    });
  }

  /** Delay of a second copy of an order, which the router may create. */
  private copyDelay(kind: string, body: unknown): number | undefined {
    if (kind !== 'config.request') return undefined;
    const {request} = body as {readonly request: LogRequest};
    const {random} = this.bench;
    const isCopied = request.kind === 'evacuation' && random.next() < COPY_RATE;
    return isCopied ? random.next() * MAX_COPY_DELAY_MS : undefined;
  }

  private submitOrder(id: string, otherIndex: number): boolean {
    const {bench, history, orders} = this;
    const zone = ZONES[otherIndex % ZONES.length]!;
    const isEvacuated = Math.floor(otherIndex / ZONES.length) % 2 === 0;
    const now = bench.clock.now();
    const record = orders.recordSend(id, zone, isEvacuated, now);
    let isWanted = true;
    if (Math.floor(otherIndex / 4) % CALLERS_PER_LEAVE === 0) {
      bench.clock.schedule(LEAVE_MS, () => {
        isWanted = false;
        orders.recordLeft(record, bench.clock.now());
      });
    }
    const done: Parameters<ConfigNode['evacuate']>[2] = answer => {
      const at = bench.clock.now();
      if (at - now > ORDER_LIMIT_MS) {
        history.report(`${zone}: order answered after ${at - now} ms`);
      }
      if ('code' in answer) {
        const isUnknown = answer.outcome === 'outcome_unknown';
        orders.recordUnavailable(record, isUnknown, at);
      } else if (answer.kind === 'accepted') {
        orders.recordAcknowledged(record, answer.version, at);
        history.recordVersion(answer.version);
      } else history.report(`${zone}: unexpected answer of ${answer.kind}`);
    };
    const order = {zone, isEvacuated};
    bench.node(id).evacuate(order, now, done, () => isWanted);
    return true;
  }

  private submitRead(id: string): boolean {
    const {bench, history} = this;
    const sentAt = bench.clock.now();
    const {floor} = history;
    bench.node(id).submit({kind: 'read'}, sentAt, answer => {
      if (!('kind' in answer) || answer.kind !== 'config') return;
      const at = bench.clock.now();
      history.recordRead(sentAt, floor, answer.config, at);
      this.orders.recordConfig('a read', answer.config, at, sentAt);
    });
    return true;
  }

  private stopNode(kind: 'crash' | 'kill', id: string): boolean {
    this.bench[kind](id);
    this.orders.recordCrash(id, this.bench.clock.now());
    if (!this.bench.disks.has(id) || this.nodesWithDiskFaults.has(id)) {
      this.history.recordStateLoss(id);
    }
    return true;
  }

  private restartNode(index: number): boolean {
    const stoppedNodes = this.bench.ids.filter(
      id => !this.bench.running.has(id),
    );
    const id = stoppedNodes[index % Math.max(1, stoppedNodes.length)];
    if (id === undefined) return false;
    const started = this.bench.start(id);
    if (started.isErr) this.history.report(`${id}: ${started.error}`);
    return true;
  }

  /**
   * Wipes a data folder, if every voter holds all committed entries in its
   * present folder. A second loss before that may destroy the last copy of an
   * entry, which the log cannot survive.
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
    this.orders.recordCrash(id, bench.clock.now());
    const disk = bench.disks.get(id)!;
    disk.isFull = false;
    disk.failingSyncs = 0;
    this.nodesWithDiskFaults.delete(id);
    this.history.recordStateLoss(id);
    return true;
  }

  private submitReplacement(id: string, otherIndex: number): boolean {
    const {bench} = this;
    const nodesWithDisk = [...bench.disks.keys()];
    const request = {
      op: 'replace',
      old: nodesWithDisk[otherIndex % nodesWithDisk.length]!,
      next: nodesWithDisk[(otherIndex + 1) % nodesWithDisk.length]!,
    } as const;
    const now = bench.clock.now();
    bench.node(id).submit({kind: 'members', request}, now, () => undefined);
    return true;
  }

  private repairDisks(): void {
    for (const disk of this.bench.disks.values()) {
      disk.isFull = false;
      disk.failingSyncs = 0;
    }
  }

  /** Ends all faults and checks that all daemons agree on one configuration. */
  private healAndCheck(): void {
    const {bench, history} = this;
    bench.peers.heal();
    bench.peers.loss = 0;
    bench.peers.maxDelayMs = 1.5;
    this.repairDisks();
    for (let n = 0; n < bench.ids.length; n += 1) this.restartNode(0);
    bench.clock.advance(RECOVERY_TIMEOUT_MS);
    const {leader} = bench;
    if (leader === undefined) {
      history.report('no leader after all faults ended');
      return;
    }
    const state = bench.node(leader).logMember!.state!;
    const {version} = state.current;
    const outdatedNodes = bench.ids.filter(id => bench.version(id) !== version);
    if (outdatedNodes.length > 0) {
      const detail = outdatedNodes
        .map(id => `${id} at ${bench.version(id)}`)
        .join();
      history.report(`not in force after all faults ended: ${detail}`);
    }
    const end = bench.clock.now();
    this.orders.recordConfig('the final state', state.current, end, end);
    history.checkFinalState(state.current, state.toSnapshot().class_versions);
  }

  private watchConfig(id: string, node: ConfigNode): void {
    const {source} = node;
    if (source.current().version > 0 || this.bench.disks.has(id)) {
      this.history.recordApplied(id, source.current());
    }
    source.onChange(config => {
      this.history.recordApplied(id, config);
      this.orders.recordConfig(id, config, this.bench.clock.now());
    });
  }

  /** Records the leader of each term, at a fixed interval. */
  private pollLeaders(): void {
    for (const [id, node] of this.bench.running) {
      if (node.logMember?.leader) this.history.elected(id, node.logMember.term);
    }
    this.bench.clock.schedule(LEADER_POLL_INTERVAL_MS, () =>
      this.pollLeaders(),
    );
  }
}
