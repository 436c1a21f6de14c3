import {BootstrapRole} from './bootstrap_role.js';
import {GroupTiming} from './group_timing.js';
import {Role} from './role.js';

/** Member without state that waits for the snapshot of a leader. */
export class LearnerRole extends Role {
  override readonly name = 'learner';
  /** Epoch milliseconds at which to start forming a group. */
  private startAt = 0;

  override get dueAt(): number {
    return this.startAt;
  }

  override enter(now: number): void {
    this.startAt =
      now +
      GroupTiming.BOOTSTRAP_DELAY_MS +
      this.core.jitter(GroupTiming.BOOTSTRAP_JITTER_MS);
    // The only member of a group need not wait for a leader.
    if (this.core.majority === 1) this.startAt = now;
  }

  override tick(now: number): void {
    const {core} = this;
    if (now < this.startAt || !core.canLead(now) || core.hasLeader(now)) return;
    core.become(new BootstrapRole(core), now);
  }
}
