/** Intervals and timeouts of a group, in ms. */
export const GroupTiming = {
  /** An idle leader with two followers sends eight heartbeats a second. */
  HEARTBEAT_INTERVAL_MS: 250,
  /**
   * Time without contact to a leader after which a follower becomes a
   * candidate; a random share of the jitter is added. Tolerates the loss of two
   * heartbeats, and keeps a failover with one repeated election within 2 s.
   */
  ELECTION_TIMEOUT_MS: 700,
  ELECTION_JITTER_MS: 250,
  /** Timeout of one round of votes; a random share of the jitter is added. */
  VOTE_TIMEOUT_MS: 150,
  VOTE_JITTER_MS: 150,
  /**
   * Time that a member without state waits for a leader before it tries to form
   * a group; a random share of the jitter is added.
   */
  BOOTSTRAP_DELAY_MS: 300,
  BOOTSTRAP_JITTER_MS: 300,
  /**
   * Time without contact to any leader after which elections are taken to have
   * failed. A member that is not a voter of a formed group then
   * discards its state, so that it can take part in forming a new group.
   */
  LEADER_LOSS_TIMEOUT_MS: 3_000,
  /** Time after which an unacknowledged snapshot is sent again. */
  SNAPSHOT_RETRY_MS: 2_000,
  /** Interval of ticks while an action is due but not yet possible. */
  TICK_RETRY_MS: 50,
} as const;
