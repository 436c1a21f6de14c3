/** Timeouts and intervals of the log, in ms. */
export interface LogTiming {
  /** Interval between the leader's heartbeats to each member. */
  readonly HEARTBEAT_MS: number;
  /**
   * Minimum time without contact with a leader before a follower starts an
   * election; the actual timeout is random, up to twice this value. A leader
   * steps down after this time without contact with a majority.
   */
  readonly ELECTION_TIMEOUT_MS: number;
  /**
   * Minimum time from the start of the process to its first election, likewise
   * random up to twice this value. No leader may exist yet, as the other
   * members may have started too; the pre-vote avoids deposing an existing one.
   */
  readonly FIRST_ELECTION_MS: number;
  /**
   * A member whose ticks are further apart than this was held up. For as long after
   * it, it neither steps down nor starts an election, since it has yet to read what
   * the others sent. Exceeds the interval of ticks.
   */
  readonly CATCH_UP_MS: number;
  /** Time after which a leadership transfer is abandoned. */
  readonly TRANSFER_TIMEOUT_MS: number;
}

/**
 * Default values. They are long because each heartbeat of an idle leader costs
 * two messages per member, and nodes keep serving with their last configuration
 * while there is no leader.
 */
export const LogTiming: LogTiming = {
  HEARTBEAT_MS: 750,
  ELECTION_TIMEOUT_MS: 2_000,
  FIRST_ELECTION_MS: 2_000,
  CATCH_UP_MS: 500,
  TRANSFER_TIMEOUT_MS: 1_000,
};
