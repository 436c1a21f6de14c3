import type {LogMemberId} from './log_member_id.js';

/** Replication progress of one other member, tracked by the leader. */
export class ReplicationProgress {
  /** Highest index that the member has replicated and synced to disk. */
  matchIndex = 0;
  /** Whether the member has replied to this leader at all. */
  hasReplied = false;
  /** Highest heartbeat round that the member has answered. */
  ackedRound = 0;
  /** Whether entries or a snapshot have been sent and not answered yet. */
  isInFlight = false;
  /** Highest commit index sent, up to the last entry sent along with it. */
  sentCommitIndex = 0;
  /** Time at which entries or a snapshot were last sent. */
  sentAt = 0;

  constructor(
    readonly id: LogMemberId,
    /** Index of the next entry to send. */
    public nextIndex: number,
    /** Time of the last message from the member. */
    public lastContactAt: number,
  ) {}
}
