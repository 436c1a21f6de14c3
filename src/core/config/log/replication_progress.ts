import type {LogMemberId} from './log_member_id.js';

/** Replication progress of one other member, tracked by the leader. */
export class ReplicationProgress {
  /** Highest index that the member has replicated and synced to disk. */
  matchIndex = 0;
  /** Whether the member has replied to this leader at all. */
  hasReplied = false;
  /** Highest heartbeat round that the member has answered. */
  ackedRound = 0;
  /** Round of the entries or the snapshot on their way; 0 if there are none. */
  inFlightRound = 0;
  /** Highest commit index sent, up to the last entry sent along with it. */
  sentCommitIndex = 0;

  constructor(
    readonly id: LogMemberId,
    /** Index of the next entry to send. */
    public nextIndex: number,
    /** Time of the last message from the member. */
    public lastContactAt: number,
  ) {}

  get isInFlight(): boolean {
    return this.inFlightRound > 0;
  }

  /**
   * Records a reply. One to a later message than the batch shows that the batch was
   * answered or lost, as messages keep their order; earlier ones tell nothing.
   */
  onReply(round: number): void {
    this.ackedRound = Math.max(this.ackedRound, round);
    if (round >= this.inFlightRound) this.inFlightRound = 0;
  }
}
