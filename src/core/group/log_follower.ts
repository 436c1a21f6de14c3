import {FollowerRole} from './follower_role.js';
import type {GroupMessage} from './group_message.js';
import {LearnerRole} from './learner_role.js';
import type {ReplicaCore} from './replica_core.js';

type Append = Extract<GroupMessage, {type: 'append'}>;
type Install = Extract<GroupMessage, {type: 'install'}>;

/** Stores what a leader sends and acknowledges it. */
export class LogFollower {
  constructor(private readonly core: ReplicaCore) {}

  append(from: string, msg: Append, now: number): void {
    if (!this.accept(from, msg, now)) return;
    const {memory} = this.core;
    if (!memory) {
      this.answer(from, false, 0);
      return;
    }
    const {log} = memory;
    const {prevIndex, entries} = msg;
    const isMatch =
      prevIndex <= log.commit || log.epochAt(prevIndex) === msg.prevEpoch;
    if (!isMatch) {
      this.answer(from, false, Math.min(log.lastIndex, prevIndex - 1));
      return;
    }
    if (entries.length > 0) memory.merge(entries);
    const match = Math.max(prevIndex + entries.length, log.commit);
    this.core.commitTo(Math.min(msg.commit, match), now);
    log.trim(msg.trim);
    this.answer(from, true, match);
  }

  install(from: string, msg: Install, now: number): void {
    if (!this.accept(from, msg, now)) return;
    const {core} = this;
    const {snapshot} = msg;
    const log = core.memory?.log;
    const isHeld =
      log !== undefined &&
      (snapshot.index <= log.commit ||
        log.epochAt(snapshot.index) === snapshot.indexEpoch);
    if (!isHeld) {
      core.install(snapshot);
      core.become(new FollowerRole(core), now);
    }
    this.answer(from, true, core.memory!.log.commit);
  }

  /** Whether the sender leads a group that this member may follow. */
  private accept(from: string, msg: Append | Install, now: number): boolean {
    const {core} = this;
    const {memory} = core;
    const isOther = memory !== undefined && memory.group !== msg.group;
    if (msg.epoch < core.epoch || (isOther && memory.isSettled)) {
      this.answer(from, false, 0);
      return false;
    }
    // A group that is not settled holds no job events, so it may be left. The
    // incarnation stays, because it may be a founder's in the other group.
    if (isOther) core.memory = undefined;
    core.follow(from, msg.epoch, now);
    const name = core.memory ? 'follower' : 'learner';
    if (core.role?.name !== name) {
      const role = core.memory ? new FollowerRole(core) : new LearnerRole(core);
      core.become(role, now);
    }
    return true;
  }

  private answer(to: string, ok: boolean, index: number): void {
    this.core.send(to, {type: 'ack', ok, index});
  }
}
