/** Timing of leases, polls and orders, in ms. */
export const LeaseTiming = {
  /** How long a worker may delay the reply to a poll until a run ends. */
  POLL_WAIT_MS: 250,
  /** Time beyond the wait after which a poll times out. */
  POLL_GRACE_MS: 120,
  /** Timeout of a start or stop; a poll then shows the state of the run. */
  ORDER_TIMEOUT_MS: 200,
  /** Interval of polls to a worker that does not reply. */
  PROBE_INTERVAL_MS: 130,
  /** Number of timeouts after which SLOW_PROBE_INTERVAL_MS applies. */
  FAST_PROBES: 3,
  SLOW_PROBE_INTERVAL_MS: 500,
  /**
   * Time for which an end stays on the list of its worker before a poll may
   * acknowledge it. The next dispatcher learns from the lists which jobs have
   * run; see StartProof.
   */
  MIN_END_HOLD_MS: 900,
  /**
   * Time after which the oldest end of an idle worker is acknowledged by a poll
   * of its own. Longer than the minimum, so that one poll covers several ends.
   * Workers list up to 500 ends, and ends must not stay unacknowledged for long.
   */
  MAX_END_HOLD_MS: 1_000,
} as const;
