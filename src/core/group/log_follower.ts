import {FollowerRole} from './follower_role.js';
import type {GroupBeat} from './group_beat.js';
import type {GroupMessage} from './group_message.js';
import {LearnerRole} from './learner_role.js';
import type {ReplicaCore} from './replica_core.js';

type Append = Extract<GroupMessage, {type: 'append'}>;
type Install = Extract<GroupMessage, {type: 'install'}>;

/** Stores what a leader sends and acknowledges it. */
export class LogFollower {
  /** Epoch of the leader whose log this one is known to match. */
  private matchEpoch = 0;
  /** Index up to which it matches. */
  private matchIndex = 0;

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
    const known = this.matchEpoch === msg.epoch ? this.matchIndex : 0;
    this.matchEpoch = msg.epoch;
    this.matchIndex = Math.max(known, match);
    this.core.commitTo(Math.min(msg.commit, match), now);
    log.trim(msg.trim);
    this.answer(from, true, match);
  }

  beat(from: string, [epoch, commit, trim]: GroupBeat, now: number): void {
    const {core} = this;
    const isFollowed = core.leader === from && core.epoch === epoch;
    if (!isFollowed || !core.memory || this.matchEpoch !== epoch) {
      this.answer(from, false, core.memory?.log.lastIndex ?? 0);
      return;
    }
    core.follow(from, epoch, now);
    core.commitTo(Math.min(commit, this.matchIndex), now);
    core.memory.log.trim(trim);
    core.sendAlive(from, [epoch, core.incarnation]);
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
