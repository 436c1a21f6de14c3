import {GroupMemory} from './group_memory.js';
import type {GroupMessage} from './group_message.js';
import {GroupTiming} from './group_timing.js';
import {LeaderRole} from './leader_role.js';
import {LearnerRole} from './learner_role.js';
import {Role} from './role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/**
 * A member without memory that asks the others whether a majority has none
 * either. The first round binds nobody; grants of the second do.
 */
export class FormerRole extends Role {
  override readonly name = 'former';
  private isPre = true;
  private round = 0;
  private endsAt = 0;
  /** Incarnations of those that granted, by node. */
  private readonly grants = new Map<string, number>();

  override get dueAt(): number {
    return this.endsAt;
  }

  override enter(now: number): void {
    this.ask(now);
  }

  override tick(now: number): void {
    if (now < this.endsAt) return;
    this.core.become(new LearnerRole(this.core), now);
  }

  override answered(from: string, msg: Ballot, now: number): void {
    if (!msg.granted) {
      this.core.raise(msg.epoch);
      // A round below an epoch that was seen since must not be won.
      if (!this.isPre && this.core.epoch > this.round) this.endsAt = now;
      return;
    }
    const isCurrent = msg.round === this.round && msg.pre === this.isPre;
    if (!isCurrent || now >= this.endsAt) return;
    this.grants.set(from, msg.incarnation);
    this.count(now);
  }

  private ask(now: number): void {
    const {core} = this;
    this.round = core.nextEpoch(now);
    this.endsAt =
      now + GroupTiming.ROUND_MS + core.jitter(GroupTiming.ROUND_SPREAD_MS);
    if (!this.isPre) {
      core.raise(this.round);
      core.votedFor = core.opts.node;
    }
    this.grants.clear();
    this.grants.set(core.opts.node, core.incarnation);
    for (const node of core.others()) {
      core.send(node, {type: 'form', epoch: this.round, pre: this.isPre});
    }
    this.count(now);
  }

  private count(now: number): void {
    const {core} = this;
    if (this.grants.size < core.majority) return;
    if (this.isPre) {
      this.isPre = false;
      this.ask(now);
      return;
    }
    core.opts.table.restore([]);
    core.memory = new GroupMemory({
      group: this.round,
      memoryStart: Math.floor(now),
      index: 0,
      indexEpoch: 0,
      members: this.grants,
    });
    core.become(new LeaderRole(core), now);
  }
}
