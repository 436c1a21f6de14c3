import {CandidateRole} from './candidate_role.js';
import {GroupTiming} from './group_timing.js';
import {LearnerRole} from './learner_role.js';
import {Role} from './role.js';

/** A member with memory that stores what the leader sends. */
export class FollowerRole extends Role {
  override readonly name = 'follower';
  private electionTimeoutMs = 0;

  override get dueAt(): number {
    return this.core.electionTimerResetAt + this.electionTimeoutMs;
  }

  override enter(): void {
    this.electionTimeoutMs =
      GroupTiming.ELECTION_TIMEOUT_MS +
      this.core.jitter(GroupTiming.ELECTION_JITTER_MS);
  }

  override tick(now: number): void {
    const {core} = this;
    if (now - core.electionTimerResetAt < this.electionTimeoutMs) return;
    core.leader = undefined;
    const isNeeded = core.isVotingMember && core.state?.isFormationCommitted;
    if (!isNeeded && core.hasLostLeader(now)) {
      core.startIncarnation(now);
      core.changeRole(new LearnerRole(core), now);
    } else if (core.isVotingMember && core.isLeaderEligible(now)) {
      core.changeRole(new CandidateRole(core), now);
    }
  }
}
