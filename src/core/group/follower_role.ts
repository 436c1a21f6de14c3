import {CandidateRole} from './candidate_role.js';
import {GroupTiming} from './group_timing.js';
import {LearnerRole} from './learner_role.js';
import {Role} from './role.js';

/** Member with state that waits for messages of a leader. */
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
    const mayHoldCommitted = core.isVoter && core.state?.isFormationCommitted;
    if (!mayHoldCommitted && core.hasLostLeader(now)) {
      core.startIncarnation(now);
      core.become(new LearnerRole(core), now);
    } else if (core.isVoter && core.canLead(now)) {
      core.become(new CandidateRole(core), now);
    }
  }
}
