import type {Clock} from '../../src/core/clock/clock.js';
import {Replicator} from '../../src/core/group/replicator.js';
import type {JobEvent} from '../../src/core/job/job_event.js';
import {TestGroup} from './test_group.js';

type Batch = readonly JobEvent[];

interface FakeGroupOptions {
  readonly clock: Clock;
  /** Delay of a commit on the leader, in ms. Default 1. */
  readonly commitMs?: number;
  /** Called once for each committed event. */
  readonly onCommitted?: (event: JobEvent) => void;
  /** Fault for tests of the checks: commits events without a majority. */
  readonly commitsEarly?: boolean;
  /**
   * Fault for tests of the checks: reports 0 as `memoryStart`, as if no job had
   * been lost.
   */
  readonly hidesMemoryStart?: boolean;
}

interface TakeoverOptions {
  /** Time until the previous leader steps down, in ms. */
  readonly noticedAfterMs: number;
  /** Whether the new leader has received the pending proposals. */
  readonly keepsProposals: boolean;
}

/**
 * Fake of a zone's group without elections or replication: its members share
 * one log, and a test chooses the leader.
 */
export class FakeGroup extends TestGroup {
  readonly members: GroupMember[] = [];
  readonly log: Batch[] = [];
  memoryStart: number;
  currentLeader: GroupMember | undefined;
  private epoch: number;
  private stalledUntil = 0;
  private pending: Batch[] = [];

  constructor(readonly opts: FakeGroupOptions) {
    super();
    this.epoch = opts.clock.now();
    this.memoryStart = opts.hidesMemoryStart ? 0 : opts.clock.now();
  }

  override addMember(node: string): Replicator {
    const member = new GroupMember(node, this);
    this.members.push(member);
    return member;
  }

  override start(): void {
    const [first] = this.members;
    if (!first) return;
    this.takeOver(first.node, {noticedAfterMs: 0, keepsProposals: false});
  }

  override stop(): void {
    this.currentLeader = undefined;
  }

  override get leaderNode(): string | undefined {
    return this.currentLeader?.node;
  }

  /** Makes a member leader at once; the previous one steps down later. */
  override takeOver(
    node: string,
    {noticedAfterMs, keepsProposals}: TakeoverOptions,
  ): void {
    const {clock} = this.opts;
    const next = this.members.find(member => member.node === node);
    const previous = this.currentLeader;
    if (!next || next === previous || next.leadingEpoch !== undefined) return;
    const pending = this.pending;
    this.pending = [];
    this.currentLeader = undefined;
    if (keepsProposals) for (const batch of pending) this.append(batch);
    this.epoch = Math.max(this.epoch + 1, clock.now());
    this.currentLeader = next;
    next.catchUp();
    next.lead(this.epoch);
    clock.schedule(noticedAfterMs, () => previous?.stepDown());
  }

  override stall(ms: number): void {
    this.stalledUntil = this.opts.clock.now() + ms;
  }

  propose(member: GroupMember, events: Batch, now: number): void {
    if (this.opts.commitsEarly) member.commitEarly(events, now);
    // Proposals of a deposed leader reach no majority and are lost.
    if (member !== this.currentLeader) return;
    this.pending.push(events);
    const {clock, commitMs = 1} = this.opts;
    clock.schedule(commitMs, () => this.commit(member));
  }

  private append(batch: Batch): void {
    this.log.push(batch);
    for (const event of batch) this.opts.onCommitted?.(event);
  }

  private commit(leader: GroupMember): void {
    const {clock} = this.opts;
    if (leader !== this.currentLeader || this.pending.length === 0) return;
    if (clock.now() < this.stalledUntil) {
      const wait = this.stalledUntil - clock.now();
      clock.schedule(wait, () => this.commit(leader));
      return;
    }
    this.append(this.pending.shift()!);
    for (const member of this.members) {
      if (member === leader) member.catchUp();
      else clock.schedule(1, () => member.catchUp());
    }
  }
}

class GroupMember extends Replicator {
  private epoch: number | undefined;
  private applied = 0;

  constructor(
    readonly node: string,
    private readonly group: FakeGroup,
  ) {
    super();
  }

  override get leadingEpoch(): number | undefined {
    return this.epoch;
  }

  override get leader(): string | undefined {
    return this.group.currentLeader?.node;
  }

  override get memoryStart(): number {
    return this.group.memoryStart;
  }

  override propose(events: readonly JobEvent[], now: number): void {
    this.group.propose(this, events, now);
  }

  /** Not needed, because epochs are taken from the clock. */
  override raiseEpochAbove(): void {}

  override handOver(): boolean {
    return false;
  }

  lead(epoch: number): void {
    this.epoch = epoch;
    this.listener?.leadershipChanged(epoch, this.group.opts.clock.now());
  }

  stepDown(): void {
    if (this.epoch === undefined || this.group.currentLeader === this) return;
    this.epoch = undefined;
    this.listener?.leadershipChanged(undefined, this.group.opts.clock.now());
    this.catchUp();
  }

  /** Applies committed events, unless the member is a deposed leader. */
  catchUp(): void {
    if (this.epoch !== undefined && this.group.currentLeader !== this) return;
    while (this.applied < this.group.log.length) {
      const events = this.group.log[this.applied]!;
      this.applied += 1;
      if (this.group.opts.commitsEarly && this.epoch !== undefined) continue;
      this.listener?.committed(events, this.group.opts.clock.now());
    }
  }

  commitEarly(events: readonly JobEvent[], now: number): void {
    this.listener?.committed(events, now);
  }
}
