import {ElectionRole} from './election_role.js';
import type {GroupMessage} from './group_message.js';
import {GroupState} from './group_state.js';
import {LeaderRole} from './leader_role.js';
import {LearnerRole} from './learner_role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/**
 * Member without state that tries to form a new group with itself as leader. It
 * needs grants from a majority of the members, and only members without state
 * give one. An older group can then no longer commit anything.
 */
export class BootstrapRole extends ElectionRole {
  override readonly name = 'former';
  /** Incarnations of the members that granted the request, by node. */
  private readonly grants = new Map<string, number>();

  override tick(now: number): void {
    if (now < this.endsAt) return;
    this.core.become(new LearnerRole(this.core), now);
  }

  override onBallot(from: string, msg: Ballot, now: number): void {
    if (!msg.granted) {
      this.handleRejection(msg, now);
      return;
    }
    if (!this.isCurrent(msg) || now >= this.endsAt) return;
    this.grants.set(from, msg.incarnation);
    this.countVotes(this.grants.size, now);
  }

  protected override requestVotes(now: number): void {
    const {core} = this;
    this.startRound(now);
    this.grants.clear();
    this.grants.set(core.opts.node, core.incarnation);
    for (const node of core.others()) {
      core.send(node, {type: 'form', epoch: this.round, pre: this.isPreVote});
    }
    this.countVotes(this.grants.size, now);
  }

  protected override onElected(now: number): void {
    const {core} = this;
    core.opts.table.restore([]);
    core.state = new GroupState({
      group: this.round,
      memoryStart: Math.floor(now),
      index: 0,
      indexEpoch: 0,
      members: this.grants,
    });
    core.become(new LeaderRole(core), now);
  }
}
