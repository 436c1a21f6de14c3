import type {GroupHeartbeatReply} from './group_heartbeat_reply.js';
import type {GroupMessage} from './group_message.js';
import type {ReplicaCore} from './replica_core.js';

type Ack = Extract<GroupMessage, {type: 'ack'}>;
type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/** Behaviour of a group member while it has one role, such as follower. */
export abstract class Role {
  constructor(protected readonly core: ReplicaCore) {}

  /** `former` is the role of a member that tries to form a new group. */
  abstract readonly name:
    'learner' | 'former' | 'follower' | 'candidate' | 'leader';

  /** Epoch milliseconds at which `tick` must be called next. */
  abstract get dueAt(): number;

  /** Called once when the member takes on the role. */
  enter(_now: number): void {}

  /** Called once when the member changes to another role. */
  exit(_now: number): void {}

  abstract tick(now: number): void;

  onAck(_from: string, _msg: Ack, _now: number): void {}

  onHeartbeatReply(
    _from: string,
    _reply: GroupHeartbeatReply,
    _now: number,
  ): void {}

  onBallot(_from: string, _msg: Ballot, _now: number): void {}
}
