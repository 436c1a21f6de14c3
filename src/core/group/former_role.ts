import {GroupMemory} from './group_memory.js';
import type {GroupMessage} from './group_message.js';
import {LeaderRole} from './leader_role.js';
import {LearnerRole} from './learner_role.js';
import {RoundRole} from './round_role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/**
 * A member without memory that asks the others whether a majority has none
 * either. The first round binds nobody; grants of the second do.
 */
export class FormerRole extends RoundRole {
  override readonly name = 'former';
  /** Incarnations of those that granted, by node. */
  private readonly grants = new Map<string, number>();

  override tick(now: number): void {
    if (now < this.endsAt) return;
    this.core.become(new LearnerRole(this.core), now);
  }

  override answered(from: string, msg: Ballot, now: number): void {
    if (!msg.granted) {
      this.refused(msg, now);
      return;
    }
    if (!this.isCurrent(msg) || now >= this.endsAt) return;
    this.grants.set(from, msg.incarnation);
    this.count(this.grants.size, now);
  }

  protected override ask(now: number): void {
    const {core} = this;
    this.openRound(now);
    this.grants.clear();
    this.grants.set(core.opts.node, core.incarnation);
    for (const node of core.others()) {
      core.send(node, {type: 'form', epoch: this.round, pre: this.isPre});
    }
    this.count(this.grants.size, now);
  }

  protected override won(now: number): void {
    const {core} = this;
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
