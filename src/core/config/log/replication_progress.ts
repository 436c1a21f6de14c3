import type {LogMemberId} from './log_member_id.js';

/** What the leader knows about one other member. */
export class ReplicationProgress {
  /** Highest index that the member has synced. */
  matchIndex = 0;
  /** Highest round of heartbeats that the member has answered. */
  ackedRound = 0;
  /** Whether entries or a snapshot are under way. */
  isInFlight = false;
  /** Highest commit index that the member can act on and was sent. */
  sentCommitIndex = 0;
  /** When entries or a snapshot were last sent. */
  sentAt = 0;

  constructor(
    readonly id: LogMemberId,
    /** Next index to send. */
    public nextIndex: number,
    /** When the member was last heard. */
    public lastContactAt: number,
  ) {}
}
