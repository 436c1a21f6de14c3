import {BootstrapRole} from './bootstrap_role.js';
import {GroupTiming} from './group_timing.js';
import {Role} from './role.js';

/** A member without memory: it awaits a leader's snapshot. */
export class LearnerRole extends Role {
  override readonly name = 'learner';
  private bootstrapAt = 0;

  override get dueAt(): number {
    return this.bootstrapAt;
  }

  override enter(now: number): void {
    this.bootstrapAt =
      now +
      GroupTiming.BOOTSTRAP_DELAY_MS +
      this.core.jitter(GroupTiming.BOOTSTRAP_JITTER_MS);
    // A group of one has nobody to wait for.
    if (this.core.majority === 1) this.bootstrapAt = now;
  }

  override tick(now: number): void {
    const {core} = this;
    if (
      now < this.bootstrapAt ||
      !core.isLeaderEligible(now) ||
      core.hasLiveLeader(now)
    )
      return;
    core.changeRole(new BootstrapRole(core), now);
  }
}
