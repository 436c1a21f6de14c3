/** How nodes without a lead come to terms with that, in ms. */
export const LeadTiming = {
  /** A lead that was not heard of for this long is taken for lost. */
  SILENCE_MS: 600,
  /**
   * An entry node that has not heard the lead for this long leaves it alone,
   * so that the lead, which may still hear the node, counts it as silent.
   */
  QUIET_MS: 300,
  /** The lead drops the jobs of an entry node that was silent for this long. */
  OWNER_SILENCE_MS: 1_200,
  /**
   * When the lead was last heard this long ago, nothing that it began for the
   * callers of a node runs any more: it has dropped the jobs of the node after
   * QUIET_MS and OWNER_SILENCE_MS, and the runs are stopped.
   */
  OVER_MS: 1_700,
} as const;
