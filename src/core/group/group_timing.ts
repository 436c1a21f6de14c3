/** Times of a group in milliseconds. */
export const GroupTiming = {
  /** With two followers the idle leader sends eight small messages a second. */
  HEARTBEAT_INTERVAL_MS: 250,
  /**
   * Silence of a leader after which a member asks for votes; a random share of
   * the spread is added. Two lost beats are borne, and a takeover with one
   * repeated election stays within 2 s.
   */
  ELECTION_TIMEOUT_MS: 700,
  ELECTION_JITTER_MS: 250,
  /** Time for the answers of one round of an election. */
  VOTE_TIMEOUT_MS: 150,
  VOTE_JITTER_MS: 150,
  /** Silence that a member without memory awaits before it forms a group. */
  BOOTSTRAP_DELAY_MS: 300,
  BOOTSTRAP_JITTER_MS: 300,
  /**
   * Silence of all leaders after which the usual elections have failed. A
   * member that no committed event depends on then gives its memory up, so that
   * it can take part in forming a group.
   */
  LEADER_LOSS_TIMEOUT_MS: 3_000,
  /** Time after which a snapshot is sent again. */
  SNAPSHOT_RETRY_MS: 2_000,
  /** Interval of an act that is due but has to wait. */
  TICK_RETRY_MS: 50,
} as const;
