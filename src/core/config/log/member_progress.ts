import type {LogNodeId} from './log_node_id.js';

/** What the leader knows about one other member. */
export class MemberProgress {
  /** Highest index that the member has synced. */
  match = 0;
  /** Highest round of heartbeats that the member has answered. */
  round = 0;
  /** Whether entries or a snapshot are under way. */
  isBusy = false;
  /** Highest commit index that the member can act on and was sent. */
  sentCommit = 0;
  /** When entries or a snapshot were last sent. */
  sentAt = 0;

  constructor(
    readonly id: LogNodeId,
    /** Next index to send. */
    public next: number,
    /** When the member was last heard. */
    public heardAt: number,
  ) {}
}
