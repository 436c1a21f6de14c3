import type {GroupHeartbeatReply} from './group_heartbeat_reply.js';
import type {GroupMessage} from './group_message.js';
import type {ReplicaCore} from './replica_core.js';

type Ack = Extract<GroupMessage, {type: 'ack'}>;
type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/** What a member of a group does in its present state. */
export abstract class Role {
  constructor(protected readonly core: ReplicaCore) {}

  abstract readonly name:
    'learner' | 'former' | 'follower' | 'candidate' | 'leader';

  /** Epoch milliseconds at which `tick` has something to do. */
  abstract get dueAt(): number;

  /** Called once, when the member takes the role. */
  enter(_now: number): void {}

  /** Called once, when the member gives the role up. */
  exit(_now: number): void {}

  abstract tick(now: number): void;

  onAck(_from: string, _msg: Ack, _now: number): void {}

  onHeartbeatReply(
    _from: string,
    _alive: GroupHeartbeatReply,
    _now: number,
  ): void {}

  onBallot(_from: string, _msg: Ballot, _now: number): void {}
}
