/** Times of the log, in ms. */
export interface LogTiming {
  /** Interval of the leader's messages to each member. */
  readonly HEARTBEAT_MS: number;
  /**
   * A follower waits this long, and up to as much again, before it asks for
   * votes. A leader steps down after the same time without a majority.
   */
  readonly ELECTION_TIMEOUT_MS: number;
  /**
   * The same for the first election after a start, when the others may have
   * started as well. A pre-vote keeps it from disturbing a leader.
   */
  readonly FIRST_ELECTION_MS: number;
  /** A snapshot that got no answer is sent again after this time. */
  readonly SNAPSHOT_RETRY_MS: number;
  /** A transfer of the lead that takes longer is given up. */
  readonly TRANSFER_TIMEOUT_MS: number;
}

/**
 * Default times. They are long, because an idle leader pays two messages per
 * member and heartbeat, and daemons keep their configuration while there is no
 * leader.
 */
export const LogTiming: LogTiming = {
  HEARTBEAT_MS: 750,
  ELECTION_TIMEOUT_MS: 2_000,
  FIRST_ELECTION_MS: 2_000,
  SNAPSHOT_RETRY_MS: 2_000,
  TRANSFER_TIMEOUT_MS: 1_000,
};
