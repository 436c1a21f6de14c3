/** Intervals and periods of the copies of a dispatcher's list of workers, in ms. */
export const WorkerListTiming = {
  /** Interval at which a node asks a dispatcher for changes of the list. */
  REQUEST_MS: 400,
  REQUEST_TIMEOUT_MS: 700,
  /** Least time between two requests of a dispatcher to confirm new workers. */
  NOTIFY_MS: 20,
  /**
   * Time for which a dispatcher waits for a node that has a copy before it uses a
   * worker that the node has not confirmed. Exceeds the time in which the loss of a
   * leader is detected and the next one is elected.
   */
  HELD_MS: 3_000,
  /**
   * Time for which a copy is complete, from when it was asked for. Clocks may
   * differ by 2%.
   */
  VALID_MS: 2_900,
} as const;
