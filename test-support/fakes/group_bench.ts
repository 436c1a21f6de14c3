import {GroupReplica} from '../../src/core/group/group_replica.js';
import type {JobEvent} from '../../src/core/job/job_event.js';
import type {JobSpec} from '../../src/core/job/job_spec.js';
import {JobTable} from '../../src/core/job/job_table.js';
import {FakeClock} from './fake_clock.js';
import {FakePeers} from './fake_peers.js';
import {SeededRandom} from './seeded_random.js';

const STEP_MS = 10;

interface GroupBenchOptions {
  /** Default n1, n2 and n3. */
  readonly members?: readonly string[];
  /** Default none. */
  readonly witnesses?: readonly string[];
  /** Default 1. */
  readonly seed?: number;
}

interface Process {
  readonly replica: GroupReplica;
  readonly table: JobTable;
}

/**
 * Group of a zone on a fake clock and a fake network. Records violations of its
 * guarantees: one leader in each epoch, one order of events, and no loss of a
 * committed event while a majority of the members keeps its state.
 */
export class GroupBench {
  readonly clock = new FakeClock();
  readonly random: SeededRandom;
  readonly peers: FakePeers;
  readonly members: readonly string[];
  readonly witnesses: readonly string[];
  readonly processes = new Map<string, Process>();
  readonly violations: string[] = [];
  /** Leader of each epoch. */
  readonly leaders = new Map<number, string>();
  /** Committed keys in order, by the `memoryStart` of their group. */
  readonly committed = new Map<number, string[]>();
  private keyCount = 0;

  constructor(opts: GroupBenchOptions = {}) {
    this.members = opts.members ?? ['n1', 'n2', 'n3'];
    this.witnesses = opts.witnesses ?? [];
    this.random = new SeededRandom(opts.seed ?? 1);
    this.peers = new FakePeers({clock: this.clock, random: this.random});
    for (const node of this.members) this.start(node);
  }

  /** Job with one task and without a creation time. */
  static jobOf(key: string): JobSpec {
    return {
      key,
      keyTimeMs: 0,
      className: 'default',
      tenant: 'default',
      repeatable: false,
      tasks: [{payload: null}],
      fingerprint: key,
      submittedAt: 0,
    };
  }

  get majority(): number {
    return Math.floor(this.members.length / 2) + 1;
  }

  /** Starts a process on a node, which replaces a running one. */
  start(node: string): void {
    this.kill(node);
    const table = new JobTable();
    const replica = new GroupReplica({
      zone: 'arbat',
      node,
      members: this.members,
      witnesses: this.witnesses,
      table,
      peers: this.peers.attach(node),
      clock: this.clock,
      random: this.random,
    });
    this.processes.set(node, {replica, table});
    replica.listen({
      committed: events => this.apply(node, replica, table, events),
      leadershipChanged: epoch => this.checkLeader(node, epoch),
    });
    replica.start();
  }

  kill(node: string): void {
    this.processes.get(node)?.replica.stop();
    this.processes.delete(node);
    this.peers.detach(node);
  }

  replica(node: string): GroupReplica {
    const process = this.processes.get(node);
    if (!process) throw new Error(`no process runs on node ${node}`);
    return process.replica;
  }

  /** Keys of the jobs applied on a node, in commit order. */
  keysOf(node: string): string[] {
    const records = this.processes.get(node)?.table.records() ?? [];
    return [...records].map(record => record.spec.key);
  }

  /** Leader of the highest epoch. */
  leader(): string | undefined {
    let best: {node: string; epoch: number} | undefined;
    for (const [node, {replica}] of this.processes) {
      const epoch = replica.leadingEpoch;
      if (epoch === undefined || epoch < (best?.epoch ?? 0)) continue;
      best = {node, epoch};
    }
    return best?.node;
  }

  /** Waits for a leader other than `except`; throws on timeout. */
  awaitLeader(except?: string, limitMs = 5_000): string {
    this.await(`leader other than ${except}`, limitMs, () => {
      const leader = this.leader();
      return leader !== undefined && leader !== except;
    });
    return this.leader()!;
  }

  /** Waits until every running member is a voting member. */
  awaitVotingMembers(limitMs = 10_000): void {
    this.await('voting right of every member', limitMs, () =>
      [...this.processes.values()].every(({replica}) => replica.status.isVoter),
    );
  }

  /** Proposes a job on a node and returns its key. */
  propose(node: string): string {
    this.keyCount += 1;
    const key = `job-${this.keyCount}`;
    const event: JobEvent = {kind: 'accepted', job: GroupBench.jobOf(key)};
    this.replica(node).propose([event], this.clock.now());
    return key;
  }

  await(what: string, limitMs: number, condition: () => boolean): void {
    const end = this.clock.now() + limitMs;
    while (!condition()) {
      if (this.clock.now() >= end) throw new Error(`no ${what} in time`);
      this.clock.advance(STEP_MS);
    }
  }

  private apply(
    node: string,
    replica: GroupReplica,
    table: JobTable,
    events: readonly JobEvent[],
  ): void {
    for (const event of events) table.apply(event);
    const order = this.committed.get(replica.memoryStart) ?? [];
    this.committed.set(replica.memoryStart, order);
    const held = [...table.records()].map(record => record.spec.key);
    held.forEach((key, at) => {
      if (at === order.length) order.push(key);
      if (order[at] === key) return;
      this.violations.push(
        `${node} has ${key} at position ${at} instead of ${order[at]}`,
      );
    });
  }

  private checkLeader(node: string, epoch: number | undefined): void {
    if (epoch === undefined) return;
    const known = this.leaders.get(epoch);
    if (known !== undefined && known !== node) {
      this.violations.push(
        `${known} and ${node} are both leader in epoch ${epoch}`,
      );
    }
    this.leaders.set(epoch, node);
    const {memoryStart, status} = this.replica(node);
    const lacking =
      (this.committed.get(memoryStart)?.length ?? 0) - this.keysOf(node).length;
    if (lacking > 0) {
      this.violations.push(
        `${node} is leader but lacks ${lacking} committed events`,
      );
    }
    const groups = [...this.processes.values()]
      .filter(({replica}) => replica.status.isVoter)
      .map(({replica}) => replica.status.group)
      .filter(group => group !== undefined && group !== status.group);
    for (const group of new Set(groups)) {
      const holders = groups.filter(other => other === group).length;
      if (holders < this.majority) continue;
      this.violations.push(
        `${node} is leader while a majority holds another group's state`,
      );
    }
  }
}
