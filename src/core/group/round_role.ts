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
export abstract class RoundRole extends Role {
  protected round = 0;
  protected endsAt = 0;

  constructor(
    core: ReplicaCore,
    protected isPre = true,
  ) {
    super(core);
  }

  override get dueAt(): number {
    return this.endsAt;
  }

  override enter(now: number): void {
    this.ask(now);
  }

  /** Opens a round with this member's own grant. */
  protected abstract ask(now: number): void;

  /** Called when a majority has granted the second round. */
  protected abstract won(now: number): void;

  protected openRound(now: number): void {
    const {core} = this;
    this.round = core.nextEpoch(now);
    this.endsAt =
      now + GroupTiming.ROUND_MS + core.jitter(GroupTiming.ROUND_SPREAD_MS);
    if (this.isPre) return;
    core.raise(this.round);
    core.votedFor = core.opts.node;
  }

  protected isCurrent(msg: Ballot): boolean {
    return msg.round === this.round && msg.pre === this.isPre;
  }

  /** Notes a refusal; true if the round ends with it. */
  protected refused(msg: Ballot, now: number): boolean {
    this.core.raise(msg.epoch);
    // A round below an epoch that was seen since must not be won.
    const isLost = !this.isPre && this.core.epoch > this.round;
    if (isLost) this.endsAt = now;
    return isLost;
  }

  protected count(grants: number, now: number): void {
    if (grants < this.core.majority) return;
    if (!this.isPre) {
      this.won(now);
      return;
    }
    this.isPre = false;
    this.ask(now);
  }
}
