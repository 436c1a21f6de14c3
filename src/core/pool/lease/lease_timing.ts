/** Timing of leases, polls and orders, in ms. */
export const LeaseTiming = {
  /** How long a worker may delay the reply to a poll until a run ends. */
  POLL_WAIT_MS: 250,
  /** The same while the lease is shorter than usual. */
  SHORT_POLL_WAIT_MS: 100,
  /** Time beyond the wait after which a poll times out. */
  POLL_GRACE_MS: 120,
  /** Timeout of a start or stop; a poll then shows the state of the run. */
  ORDER_TIMEOUT_MS: 200,
  /** Time after which a stop without a reply is repeated. */
  STOP_RETRY_MS: 330,
  /** Interval of polls to a worker that does not reply. */
  PROBE_INTERVAL_MS: 130,
  /** Number of timeouts after which SLOW_PROBE_INTERVAL_MS applies. */
  FAST_PROBES: 3,
  SLOW_PROBE_INTERVAL_MS: 500,
  /** Delay after which ended runs of an idle worker are acknowledged. */
  IDLE_ACK_MS: 150,
  /** Default time after which callers send a job again. */
  RESEND_MS: 1_300,
} as const;
