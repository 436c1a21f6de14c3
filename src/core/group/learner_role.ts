import {FormerRole} from './former_role.js';
import {GroupTiming} from './group_timing.js';
import {Role} from './role.js';

/** A member without memory: it awaits a leader's snapshot. */
export class LearnerRole extends Role {
  override readonly name = 'learner';
  private formAt = 0;

  override get dueAt(): number {
    return this.formAt;
  }

  override enter(now: number): void {
    this.formAt =
      now + GroupTiming.FORM_MS + this.core.jitter(GroupTiming.FORM_SPREAD_MS);
    // A group of one has nobody to wait for.
    if (this.core.majority === 1) this.formAt = now;
  }

  override tick(now: number): void {
    const {core} = this;
    if (now < this.formAt || !core.canLead(now) || core.isLed(now)) return;
    core.become(new FormerRole(core), now);
  }
}
