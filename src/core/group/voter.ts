import {FollowerRole} from './follower_role.js';
import type {GroupMessage} from './group_message.js';
import {LearnerRole} from './learner_role.js';
import type {ReplicaCore} from './replica_core.js';

type Vote = Extract<GroupMessage, {type: 'vote'}>;
type Form = Extract<GroupMessage, {type: 'form'}>;
type Round = Vote | Form;

/** Answers those that ask for a vote or for a grant to form a group. */
export class Voter {
  constructor(private readonly core: ReplicaCore) {}

  /** One vote for each epoch, to a member whose log lacks nothing. */
  vote(from: string, msg: Vote, now: number): void {
    const {core} = this;
    const {memory} = core;
    if (!memory || memory.group !== msg.group) {
      this.answer(from, msg, false);
      return;
    }
    const {log} = memory;
    const isAhead = log.isAheadOf(msg.lastIndex, msg.lastEpoch);
    if (msg.pre) {
      const isOpen = msg.epoch > core.epoch && !core.isLed(now);
      if (isOpen && isAhead) this.refuseWithLog(from, msg);
      else this.answer(from, msg, isOpen);
      return;
    }
    if (msg.epoch > core.epoch) {
      core.raise(msg.epoch);
      if (core.role?.name !== 'follower') {
        core.become(new FollowerRole(core), now);
      }
    }
    this.give(from, msg, !isAhead, now);
  }

  /** A grant says that this incarnation holds no memory of any group. */
  form(from: string, msg: Form, now: number): void {
    const {core} = this;
    if (core.memory || core.isLed(now)) {
      this.answer(from, msg, false);
      return;
    }
    if (msg.pre) {
      this.answer(from, msg, msg.epoch > core.epoch);
      return;
    }
    if (msg.epoch > core.epoch) {
      core.raise(msg.epoch);
      if (core.role?.name === 'former') core.become(new LearnerRole(core), now);
    }
    this.give(from, msg, true, now);
  }

  private give(
    from: string,
    msg: Round,
    isEligible: boolean,
    now: number,
  ): void {
    const {core} = this;
    const isFree = core.votedFor === undefined || core.votedFor === from;
    const isGranted = isEligible && isFree && msg.epoch === core.epoch;
    if (isGranted) {
      core.votedFor = from;
      core.heardAt = now;
    }
    this.answer(from, msg, isGranted);
  }

  private refuseWithLog(from: string, msg: Vote): void {
    const {core} = this;
    const {log} = core.memory!;
    const isTrimmed = log.base > msg.commit;
    const start = isTrimmed ? log.commit + 1 : msg.commit + 1;
    core.send(from, {
      type: 'ballot',
      round: msg.epoch,
      pre: msg.pre,
      granted: false,
      ...(isTrimmed ? {snapshot: core.snapshot()} : {}),
      missing: log.from(start),
    });
  }

  private answer(from: string, msg: Round, granted: boolean): void {
    const {epoch: round, pre} = msg;
    this.core.send(from, {type: 'ballot', round, pre, granted});
  }
}
