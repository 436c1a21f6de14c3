/** Timeouts for detecting the loss of a dispatcher, in ms. */
export const FailoverTiming = {
  /** A dispatcher without a presence message for this long counts as lost. */
  DISPATCHER_TIMEOUT_MS: 600,
  /**
   * The same at entry nodes of granted zones, which receive the leader's claim once
   * a second.
   */
  DISTANT_LEADER_TIMEOUT_MS: 2_500,
  /**
   * An entry node that has received nothing from the dispatcher for this long
   * stops polling; its polls would prolong nothing, but for an older dispatcher.
   */
  POLL_CUTOFF_MS: 300,
  /**
   * A dispatcher drops the jobs of an entry node this long after the statement of
   * the last claim that the node has received.
   */
  OWNER_TIMEOUT_MS: 1_000,
  /**
   * A dispatcher whose event loop is behind by more than this sends no orders
   * before it has dropped the jobs of the entry nodes that it has lost.
   */
  MAX_TICK_GAP_MS: 100,
  /**
   * Time since the last contact with a dispatcher after which none of its runs for
   * an entry node is active: their leases end by then, see WorkerLease.
   */
  RUNS_ENDED_MS: 1_800,
  /**
   * Time since the election of a leader after which no run of the one before is
   * active: it sends orders for 250 ms without a confirmation, and leases last 600.
   */
  LEADER_RUNS_ENDED_MS: 950,
} as const;
