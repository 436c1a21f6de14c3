/** Times of leases and looks, in ms. */
export const LeaseTiming = {
  /** How long a worker waits for an end before it answers a look. */
  LOOK_WAIT_MS: 250,
  /** A look without an answer is given up this long after its wait. */
  LOOK_GRACE_MS: 120,
  /** A start or stop without an answer is settled in another way after this. */
  ORDER_TIMEOUT_MS: 200,
  /** Pause between looks at a worker that does not answer. */
  PROBE_INTERVAL_MS: 130,
  /** After this many looks without an answer the pauses are longer. */
  QUICK_PROBES: 3,
  SLOW_PROBE_MS: 500,
  /** Ends of an otherwise idle worker are acknowledged after this time. */
  IDLE_ACK_MS: 150,
} as const;
