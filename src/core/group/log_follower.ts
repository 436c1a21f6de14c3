import {FollowerRole} from './follower_role.js';
import type {GroupHeartbeat} from './group_heartbeat.js';
import type {GroupMessage} from './group_message.js';
import {LearnerRole} from './learner_role.js';
import type {ReplicaCore} from './replica_core.js';

type Append = Extract<GroupMessage, {type: 'append'}>;
type Install = Extract<GroupMessage, {type: 'install'}>;

/** Handles the messages of a leader: stores its log and acknowledges it. */
export class LogFollower {
  /** Epoch of the leader to which `matchIndex` refers. */
  private matchEpoch = 0;
  /** Index up to which this log is known to match that leader's. */
  private matchIndex = 0;

  constructor(private readonly core: ReplicaCore) {}

  onAppend(from: string, msg: Append, now: number): void {
    if (!this.acceptLeader(from, msg, now)) return;
    const {state} = this.core;
    if (!state) {
      this.sendAck(from, false, 0);
      return;
    }
    const {log} = state;
    const {prevIndex, entries} = msg;
    const isMatch =
      prevIndex <= log.commit || log.epochAt(prevIndex) === msg.prevEpoch;
    if (!isMatch) {
      this.sendAck(from, false, Math.min(log.lastIndex, prevIndex - 1));
      return;
    }
    if (entries.length > 0) state.merge(entries);
    const match = Math.max(prevIndex + entries.length, log.commit);
    const known = this.matchEpoch === msg.epoch ? this.matchIndex : 0;
    this.matchEpoch = msg.epoch;
    this.matchIndex = Math.max(known, match);
    this.core.commitTo(Math.min(msg.commit, match), now);
    log.trim(msg.trim);
    this.sendAck(from, true, match);
  }

  onHeartbeat(
    from: string,
    [epoch, commit, trim]: GroupHeartbeat,
    now: number,
  ): void {
    const {core} = this;
    const isCurrentLeader = core.leader === from && core.epoch === epoch;
    if (!isCurrentLeader || !core.state || this.matchEpoch !== epoch) {
      this.sendAck(from, false, core.state?.log.lastIndex ?? 0);
      return;
    }
    core.recordLeader(from, epoch, now);
    core.commitTo(Math.min(commit, this.matchIndex), now);
    core.state.log.trim(trim);
    core.sendHeartbeatReply(from, [epoch, core.incarnation]);
  }

  onInstall(from: string, msg: Install, now: number): void {
    if (!this.acceptLeader(from, msg, now)) return;
    const {core} = this;
    const {snapshot} = msg;
    const log = core.state?.log;
    const hasSnapshot =
      log !== undefined &&
      (snapshot.index <= log.commit ||
        log.epochAt(snapshot.index) === snapshot.indexEpoch);
    if (!hasSnapshot) {
      core.installSnapshot(snapshot);
      core.become(new FollowerRole(core), now);
    }
    this.sendAck(from, true, core.state!.log.commit);
  }

  /** Follows the sender; false if its epoch or group is refused. */
  private acceptLeader(
    from: string,
    msg: Append | Install,
    now: number,
  ): boolean {
    const {core} = this;
    const {state} = core;
    const isOtherGroup = state !== undefined && state.group !== msg.group;
    if (
      msg.epoch < core.epoch ||
      (isOtherGroup && state.isFormationCommitted)
    ) {
      this.sendAck(from, false, 0);
      return false;
    }
    // The group may be left, as it holds no job events before its formation is
    // committed. The incarnation is kept, because the other group may have this
    // incarnation as an initial member.
    if (isOtherGroup) core.state = undefined;
    core.recordLeader(from, msg.epoch, now);
    const name = core.state ? 'follower' : 'learner';
    if (core.role?.name !== name) {
      const role = core.state ? new FollowerRole(core) : new LearnerRole(core);
      core.become(role, now);
    }
    return true;
  }

  private sendAck(to: string, ok: boolean, index: number): void {
    this.core.send(to, {type: 'ack', ok, index});
  }
}
