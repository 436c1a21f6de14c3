import type {GroupMessage} from './group_message.js';
import {GroupTiming} from './group_timing.js';
import type {ReplicaCore} from './replica_core.js';
import {Role} from './role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/**
 * A member that asks the others for grants in rounds. The first round binds
 * nobody, so that a member that cannot win raises no epoch; grants of the
 * second bind.
 */
export abstract class ElectionRole extends Role {
  protected round = 0;
  protected endsAt = 0;

  constructor(
    core: ReplicaCore,
    protected isPreVote = true,
  ) {
    super(core);
  }

  override get dueAt(): number {
    return this.endsAt;
  }

  override enter(now: number): void {
    this.requestVotes(now);
  }

  /** Opens a round with this member's own grant. */
  protected abstract requestVotes(now: number): void;

  /** Called when a majority has granted the second round. */
  protected abstract onElected(now: number): void;

  protected startRound(now: number): void {
    const {core} = this;
    this.round = core.nextEpoch(now);
    this.endsAt =
      now +
      GroupTiming.VOTE_TIMEOUT_MS +
      core.jitter(GroupTiming.VOTE_JITTER_MS);
    if (this.isPreVote) return;
    core.advanceEpoch(this.round);
    core.votedFor = core.opts.node;
  }

  protected isCurrent(msg: Ballot): boolean {
    return msg.round === this.round && msg.pre === this.isPreVote;
  }

  /** Notes a refusal; true if the round ends with it. */
  protected handleRejection(msg: Ballot, now: number): boolean {
    this.core.advanceEpoch(msg.epoch);
    // A round below an epoch that was seen since must not be won.
    const isLost = !this.isPreVote && this.core.epoch > this.round;
    if (isLost) this.endsAt = now;
    return isLost;
  }

  protected countVotes(grants: number, now: number): void {
    if (grants < this.core.majority) return;
    if (!this.isPreVote) {
      this.onElected(now);
      return;
    }
    this.isPreVote = false;
    this.requestVotes(now);
  }
}
