import {FollowerRole} from './follower_role.js';
import type {GroupMessage} from './group_message.js';
import {LearnerRole} from './learner_role.js';
import type {ReplicaCore} from './replica_core.js';

type Vote = Extract<GroupMessage, {type: 'vote'}>;
type Form = Extract<GroupMessage, {type: 'form'}>;
type VoteRequest = Vote | Form;

/** Replies to requests for a vote or for a grant to form a group. */
export class VoteResponder {
  constructor(private readonly core: ReplicaCore) {}

  /**
   * Grants one vote in each epoch, to a candidate of the same group whose log
   * is at least as up to date as this member's.
   */
  onVoteRequest(from: string, msg: Vote, now: number): void {
    const {core} = this;
    const {state} = core;
    if (!state || state.group !== msg.group) {
      this.sendBallot(from, msg, false);
      return;
    }
    const {log} = state;
    const isAhead = log.isAheadOf(msg.lastIndex, msg.lastEpoch);
    if (msg.pre) {
      const isElectionDue = msg.epoch > core.epoch && !core.hasLeader(now);
      if (isElectionDue && isAhead) this.rejectWithMissingEntries(from, msg);
      else this.sendBallot(from, msg, isElectionDue);
      return;
    }
    if (msg.epoch > core.epoch) {
      core.advanceEpoch(msg.epoch);
      if (core.role?.name !== 'follower') {
        core.become(new FollowerRole(core), now);
      }
    }
    this.castVote(from, msg, !isAhead, now);
  }

  /** Grants the formation of a group if this member has no state of any. */
  onFormRequest(from: string, msg: Form, now: number): void {
    const {core} = this;
    if (core.state || core.hasLeader(now)) {
      this.sendBallot(from, msg, false);
      return;
    }
    if (msg.pre) {
      this.sendBallot(from, msg, msg.epoch > core.epoch);
      return;
    }
    if (msg.epoch > core.epoch) {
      core.advanceEpoch(msg.epoch);
      if (core.role?.name === 'former') core.become(new LearnerRole(core), now);
    }
    this.castVote(from, msg, true, now);
  }

  private castVote(
    from: string,
    msg: VoteRequest,
    isEligible: boolean,
    now: number,
  ): void {
    const {core} = this;
    const hasNoOtherVote =
      core.votedFor === undefined || core.votedFor === from;
    const isGranted = isEligible && hasNoOtherVote && msg.epoch === core.epoch;
    if (isGranted) {
      core.votedFor = from;
      core.electionTimerResetAt = now;
    }
    this.sendBallot(from, msg, isGranted);
  }

  private rejectWithMissingEntries(from: string, msg: Vote): void {
    const {core} = this;
    const {log} = core.state!;
    const isTrimmed = log.base > msg.commit;
    const start = isTrimmed ? log.commit + 1 : msg.commit + 1;
    core.send(from, {
      type: 'ballot',
      round: msg.epoch,
      pre: msg.pre,
      granted: false,
      ...(isTrimmed ? {snapshot: core.snapshot()} : {}),
      missing: log.entriesFrom(start),
    });
  }

  private sendBallot(from: string, msg: VoteRequest, granted: boolean): void {
    const {epoch: round, pre} = msg;
    this.core.send(from, {type: 'ballot', round, pre, granted});
  }
}
