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
   * stops polling. If the link fails in one direction only, the dispatcher then
   * sees no polls either and drops the jobs of the node.
   */
  POLL_CUTOFF_MS: 300,
  /** A dispatcher drops the jobs of an entry node after this silence. */
  OWNER_TIMEOUT_MS: 1_200,
  /**
   * Time since the last contact with the leader after which none of its runs
   * for an entry node is active: the leader has dropped the jobs of the node
   * after POLL_CUTOFF_MS and OWNER_TIMEOUT_MS, and their runs are stopped.
   */
  LEADER_RUNS_ENDED_MS: 1_700,
} as const;
