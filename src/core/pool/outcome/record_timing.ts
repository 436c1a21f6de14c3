/** Timing of the record of started jobs, in ms. */
export const RecordTiming = {
  /** Time in which listed ends are collected for one message. */
  FLUSH_MS: 40,
  /** Interval of messages without news. */
  IDLE_MS: 100,
  /**
   * A core node that has confirmed nothing for this long is not waited for. Its
   * record is then too old for a proof.
   */
  CONFIRMATION_MS: 750,
  /**
   * Time after a message for which ends are held for the confirmation of a core
   * node that has confirmed the last ones. A dispatcher sends orders for up to
   * 250 ms after its last contact to a majority.
   */
  HOLD_MS: 600,
} as const;
