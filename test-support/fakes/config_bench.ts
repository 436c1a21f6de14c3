import type {Result} from 'true-myth';
import type {Clock} from '../../src/core/clock/clock.js';
import type {ClassConfig} from '../../src/core/config/class_config.js';
import {ConfigNode} from '../../src/core/config/config_node.js';
import type {LogTiming} from '../../src/core/config/log/log_timing.js';
import type {MembershipRequest} from '../../src/core/config/log/membership_request.js';
import type {PeerTransport} from '../../src/core/peer/peer_transport.js';
import type {LogRequest} from '../../src/core/config/router/log_request.js';
import type {LogResponse} from '../../src/core/config/router/log_response.js';
import type {ChangeRefusal} from '../../src/core/config/state/change_refusal.js';
import type {ConfigChange} from '../../src/core/config/state/config_change.js';
import {FakeClock} from './fake_clock.js';
import {FakeDisk} from './fake_disk.js';
import {FakeEventLoop} from './fake_event_loop.js';
import {LossyPeers} from './lossy_peers.js';
import {SeededRandom} from './seeded_random.js';

const TICK_MS = 100;

interface ConfigBenchOptions {
  /** Initial voters: v1, v2, ... Default 3. */
  readonly voters?: number;
  /** Nodes with a disk that are not initial voters: s1, s2, ... Default 0. */
  readonly spares?: number;
  /** Nodes without a disk: f1, f2, ... Default 1. */
  readonly followers?: number;
  /** Default 1. */
  readonly seed?: number;
  /** Entries after which a snapshot replaces the log. Default 256. */
  readonly snapshotEntries?: number;
  /** Target number of voters. Default: members change on request only. */
  readonly voterTarget?: number;
  /** Whether the process of a node may create a log. Default: each may. */
  readonly mayForm?: (node: string) => boolean;
  /** Interval of presence messages between nodes with a disk. Default: none. */
  readonly presenceMs?: number;
  /** Availability zone of a node. Default: unknown. */
  readonly zoneOf?: (node: string) => string | undefined;
  /** Default `LogTiming`. */
  readonly timing?: LogTiming;
  /** Interval of a node's ticks in ms. Default 100. */
  readonly tickMs?: (node: string) => number;
}

type Answer = LogResponse | ChangeRefusal;

/** Config nodes with fake disks and a lossy network on a fake clock. */
export class ConfigBench {
  readonly clock = new FakeClock();
  readonly random: SeededRandom;
  readonly peers: LossyPeers;
  readonly disks = new Map<string, FakeDisk>();
  readonly running = new Map<string, ConfigNode>();
  /** Event loops of the running nodes, which tests hold up. */
  readonly loops = new Map<string, FakeEventLoop>();
  readonly ids: string[];
  readonly voters: readonly string[];
  /** Initial voters in the settings of processes that start from now on. */
  seeds: readonly string[];
  /** Nodes of which a node does not know yet. Default: none. */
  unknownTo: (node: string) => readonly string[] = () => [];
  /** Called after each start of a node. */
  onStart: (id: string, node: ConfigNode) => void = () => undefined;

  constructor(private readonly opts: ConfigBenchOptions = {}) {
    this.random = new SeededRandom(opts.seed ?? 1);
    this.peers = new LossyPeers(this.clock, this.random);
    this.peers.onArrival = (id, deliver) => {
      const loop = this.loops.get(id);
      loop?.receive(() => deliver(loop.now()));
    };
    const name = (prefix: string, count: number) =>
      Array.from({length: count}, (_, at) => `${prefix}${at + 1}`);
    this.voters = name('v', opts.voters ?? 3);
    this.seeds = this.voters;
    const stored = [...this.voters, ...name('s', opts.spares ?? 0)];
    this.ids = [...stored, ...name('f', opts.followers ?? 1)];
    for (const id of stored) {
      this.disks.set(id, new FakeDisk(this.diskClock(id), this.random));
    }
  }

  static classOf(name: string, targetMs = 2_000): ClassConfig {
    return {
      name,
      target_ms: targetMs,
      percentile: 99,
      repeatable: false,
      memory_mb: 0,
      accelerators: 0,
    };
  }

  static changeOf(
    key: string,
    expected: number,
    name: string,
    targetMs = 2_000,
  ): ConfigChange {
    return {
      key,
      expected_version: expected,
      put_classes: [ConfigBench.classOf(name, targetMs)],
      delete_classes: [],
      put_tenants: [],
      delete_tenants: [],
    };
  }

  /** Starts all nodes and waits until each has the initial configuration. */
  startAll(): void {
    for (const id of this.ids) this.start(id);
    this.waitUntil('the initial configuration on all nodes', () =>
      this.ids.every(id => this.version(id) === 1),
    );
  }

  start(id: string): Result<void, string> {
    const disk = this.disks.get(id);
    disk?.restart();
    this.loops.set(id, new FakeEventLoop(this.clock));
    const peers = this.peers.connect(id);
    const heard = new Map<string, number>();
    peers.onMessage('presence', (from, _body, now) => heard.set(from, now));
    this.sendPresence(id, peers);
    const node = new ConfigNode({
      node: id,
      nodes: () => {
        const unknown = this.unknownTo(id);
        return this.ids.filter(other => !unknown.includes(other));
      },
      voters: this.seeds,
      ...(disk ? {disk} : {}),
      initial: {
        version: 1,
        classes: {default: ConfigBench.classOf('default')},
        tenants: {},
      },
      peers,
      random: this.random,
      snapshotEntries: this.opts.snapshotEntries,
      voterTarget: this.opts.voterTarget,
      mayForm: this.opts.mayForm?.(id) ?? true,
      timing: this.opts.timing,
      zoneOf: this.opts.zoneOf,
      ...(this.opts.presenceMs === undefined
        ? {}
        : {heardAt: other => heard.get(other) ?? Number.NEGATIVE_INFINITY}),
      onDiskError: () => undefined,
    });
    const opened = node.open(this.clock.now());
    if (opened.isErr) return opened;
    this.running.set(id, node);
    this.onStart(id, node);
    this.tick(id, node);
    return opened;
  }

  /** Starts a new machine with an empty disk at an address of its own. */
  addMachine(id: string): void {
    this.ids.push(id);
    this.disks.set(id, new FakeDisk(this.diskClock(id), this.random));
    this.start(id);
  }

  /** Ends the process of a node; written data stays in the page cache. */
  kill(id: string): void {
    this.running.delete(id);
    this.loops.delete(id);
    this.peers.disconnect(id);
    this.disks.get(id)?.kill();
  }

  /** Crashes the VM of a node; data that was not synced may be lost. */
  crash(id: string): void {
    this.kill(id);
    this.disks.get(id)?.crash();
  }

  /** Crashes the VM of a node and erases its disk. */
  crashAndWipe(id: string): void {
    this.kill(id);
    this.disks.get(id)?.wipe();
  }

  node(id: string): ConfigNode {
    const node = this.running.get(id);
    if (!node) throw new Error(`${id} is not running`);
    return node;
  }

  version(id: string): number {
    return this.running.get(id)?.source.current().version ?? 0;
  }

  /** Running node that is the leader of the highest term. */
  get leader(): string | undefined {
    return [...this.running]
      .filter(([, node]) => node.logMember?.leader)
      .sort(([, a], [, b]) => b.logMember!.term - a.logMember!.term)
      .map(([id]) => id)[0];
  }

  /**
   * Advances the clock until a condition holds. Returns the time that passed in
   * ms; throws after `limitMs`.
   */
  waitUntil(what: string, condition: () => boolean, limitMs = 60_000): number {
    const start = this.clock.now();
    while (!condition()) {
      if (this.clock.now() - start > limitMs) {
        throw new Error(`timed out after ${limitMs} ms waiting for ${what}`);
      }
      this.clock.advance(10);
    }
    return this.clock.now() - start;
  }

  waitForLeader(): string {
    this.waitUntil('a leader', () => {
      const {leader} = this;
      return (
        leader !== undefined &&
        this.node(leader).logMember!.leader!.hasCommittedInTerm
      );
    });
    return this.leader!;
  }

  /** Runs a task in the event loop of a running node. */
  run(id: string, task: (node: ConfigNode, now: number) => void): void {
    const node = this.node(id);
    const loop = this.loops.get(id)!;
    loop.receive(() => task(node, loop.now()));
  }

  /** Submits a request; `answer` of the returned object is set later. */
  submit(
    id: string,
    request: LogRequest,
    onAnswer: (answer: Answer) => void = () => undefined,
  ): {answer: Answer | undefined} {
    const pending: {answer: Answer | undefined} = {answer: undefined};
    this.run(id, (node, now) =>
      node.submit(request, now, answer => {
        pending.answer = answer;
        onAnswer(answer);
      }),
    );
    return pending;
  }

  /** Submits a request and waits for its answer. */
  request(id: string, request: LogRequest): Answer {
    const pending = this.submit(id, request);
    this.waitUntil(
      `an answer to ${request.kind}`,
      () => pending.answer !== undefined,
    );
    return pending.answer!;
  }

  change(id: string, change: ConfigChange): Answer {
    return this.request(id, {kind: 'change', change});
  }

  members(id: string, request: MembershipRequest): Answer {
    return this.request(id, {kind: 'members', request});
  }

  /** Tells the other nodes with a disk that a process runs. */
  private sendPresence(id: string, peers: PeerTransport): void {
    const {presenceMs} = this.opts;
    if (presenceMs === undefined || !this.disks.has(id)) return;
    const loop = this.loops.get(id);
    // The process has ended while its loop was held up.
    if (!loop) return;
    for (const other of this.disks.keys()) {
      if (other !== id) peers.send(other, 'presence', {});
    }
    this.clock.schedule(presenceMs, () => {
      if (this.loops.get(id) !== loop) return;
      loop.runTimer(() => this.sendPresence(id, peers));
    });
  }

  private tick(id: string, node: ConfigNode): void {
    if (this.running.get(id) !== node) return;
    const loop = this.loops.get(id)!;
    node.tick(loop.now());
    const delayMs = this.opts.tickMs?.(id) ?? TICK_MS;
    this.clock.schedule(delayMs, () =>
      loop.runTimer(() => this.tick(id, node)),
    );
  }

  /** Clock of a disk, whose callbacks run in the event loop of its node. */
  private diskClock(id: string): Clock {
    const schedule: Clock['schedule'] = (delayMs, task) => {
      const loop = this.loops.get(id);
      return this.clock.schedule(delayMs, () => loop?.receive(task));
    };
    const now = () => this.loops.get(id)?.now() ?? this.clock.now();
    return {
      now,
      elapsed: now,
      schedule,
      defer: task => schedule(0, task),
      afterInput: task => schedule(0, task),
    };
  }
}
