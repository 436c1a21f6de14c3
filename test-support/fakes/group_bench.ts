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
 * A zone's group on a fake clock and a fake network. It notes every violation
 * of what a group promises: one leader in each epoch, one order of events, and
 * no loss of a committed event while a majority keeps its memory.
 */
export class GroupBench {
  readonly clock = new FakeClock();
  readonly random: SeededRandom;
  readonly peers: FakePeers;
  readonly members: readonly string[];
  readonly witnesses: readonly string[];
  readonly processes = new Map<string, Process>();
  readonly violations: string[] = [];
  /** Who led in each epoch. */
  readonly leaders = new Map<number, string>();
  /** Committed keys in order, by the start of memory of their group. */
  readonly committed = new Map<number, string[]>();
  private keys = 0;

  constructor(opts: GroupBenchOptions = {}) {
    this.members = opts.members ?? ['n1', 'n2', 'n3'];
    this.witnesses = opts.witnesses ?? [];
    this.random = new SeededRandom(opts.seed ?? 1);
    this.peers = new FakePeers({clock: this.clock, random: this.random});
    for (const node of this.members) this.start(node);
  }

  /** A job with one task, of no known age. */
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

  /** Starts a process at a node, in place of an earlier one. */
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
    if (!process) throw new Error(`${node} does not run`);
    return process.replica;
  }

  /** Keys that a node holds, in the order of their commits. */
  appliedKeys(node: string): string[] {
    const records = this.processes.get(node)?.table.records() ?? [];
    return [...records].map(record => record.spec.key);
  }

  /** The node that leads in the highest epoch. */
  leader(): string | undefined {
    let best: {node: string; epoch: number} | undefined;
    for (const [node, {replica}] of this.processes) {
      const epoch = replica.leadingEpoch;
      if (epoch === undefined || epoch < (best?.epoch ?? 0)) continue;
      best = {node, epoch};
    }
    return best?.node;
  }

  /** Waits for a leader; throws if there is none in time. */
  awaitLeader(except?: string, limitMs = 5_000): string {
    this.await(`a leader other than ${except}`, limitMs, () => {
      const leader = this.leader();
      return leader !== undefined && leader !== except;
    });
    return this.leader()!;
  }

  /** Waits until every running member's votes count. */
  awaitVotingMembers(limitMs = 10_000): void {
    this.await('all members to be full', limitMs, () =>
      [...this.processes.values()].every(
        ({replica}) => replica.status.isVotingMember,
      ),
    );
  }

  /** Proposes an event at a node; returns the key of its job. */
  propose(node: string): string {
    this.keys += 1;
    const key = `job-${this.keys}`;
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
      this.violations.push(`${node} has ${key} at ${at}, not ${order[at]}`);
    });
  }

  private checkLeader(node: string, epoch: number | undefined): void {
    if (epoch === undefined) return;
    const known = this.leaders.get(epoch);
    if (known !== undefined && known !== node) {
      this.violations.push(`${known} and ${node} lead in ${epoch}`);
    }
    this.leaders.set(epoch, node);
    const {memoryStart, status} = this.replica(node);
    const lacking =
      (this.committed.get(memoryStart)?.length ?? 0) -
      this.appliedKeys(node).length;
    if (lacking > 0) {
      this.violations.push(`${node} leads without ${lacking} events`);
    }
    const groups = [...this.processes.values()]
      .filter(({replica}) => replica.status.isVotingMember)
      .map(({replica}) => replica.status.group)
      .filter(group => group !== undefined && group !== status.group);
    for (const group of new Set(groups)) {
      const keepers = groups.filter(other => other === group).length;
      if (keepers < this.majority) continue;
      this.violations.push(`${node} leads beside a majority with memory`);
    }
  }
}
