import type {GroupMessage} from './group_message.js';
import {GroupTiming} from './group_timing.js';
import type {ReplicaCore} from './replica_core.js';
import {Role} from './role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/**
 * Base of the roles that need votes or grants from a majority to become leader.
 * They request them in two rounds. The pre-vote is not binding, so that a
 * member that cannot win does not raise the epoch; the second round is binding.
 */
export abstract class ElectionRole extends Role {
  /** Epoch requested in the current round. */
  protected round = 0;
  /** End of the current round, in epoch milliseconds. */
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

  /** Starts a round, in which this member grants its own request. */
  protected abstract requestVotes(now: number): void;

  /** Called when a majority has granted the binding round. */
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

  /** Handles a refusal; true if it ends the round. */
  protected handleRejection(msg: Ballot, now: number): boolean {
    this.core.advanceEpoch(msg.epoch);
    // The requested epoch is outdated, so the round must not be won.
    const isOutdated = !this.isPreVote && this.core.epoch > this.round;
    if (isOutdated) this.endsAt = now;
    return isOutdated;
  }

  /** Moves on to the binding round or to leadership once a majority is met. */
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
