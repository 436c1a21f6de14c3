import {CandidateRole} from './candidate_role.js';
import {GroupTiming} from './group_timing.js';
import {LearnerRole} from './learner_role.js';
import {Role} from './role.js';

/** A member with memory that stores what the leader sends. */
export class FollowerRole extends Role {
  override readonly name = 'follower';
  private patienceMs = 0;

  override get dueAt(): number {
    return this.core.heardAt + this.patienceMs;
  }

  override enter(): void {
    this.patienceMs =
      GroupTiming.ELECTION_MS +
      this.core.jitter(GroupTiming.ELECTION_SPREAD_MS);
  }

  override tick(now: number): void {
    const {core} = this;
    if (now - core.heardAt < this.patienceMs) return;
    core.leader = undefined;
    const isNeeded = core.isFull && core.memory?.isSettled;
    if (!isNeeded && core.isAbandoned(now)) {
      core.renew(now);
      core.become(new LearnerRole(core), now);
    } else if (core.isFull && core.canLead(now)) {
      core.become(new CandidateRole(core), now);
    }
  }
}
