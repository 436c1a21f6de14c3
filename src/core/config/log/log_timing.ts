/**
 * Times of the log, in ms. They are long, because an idle leader pays two
 * messages per member and heartbeat, and daemons keep their configuration while
 * there is no leader.
 */
export const LogTiming = {
  HEARTBEAT_MS: 750,
  /**
   * A follower waits this long, and up to as much again, before it asks for
   * votes. A leader steps down after the same time without a majority.
   */
  ELECTION_TIMEOUT_MS: 2_000,
  /** A snapshot that got no answer is sent again after this time. */
  SNAPSHOT_RETRY_MS: 2_000,
  /** A transfer of the lead that takes longer is given up. */
  TRANSFER_TIMEOUT_MS: 1_000,
} as const;
