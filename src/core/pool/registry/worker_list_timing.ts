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
  HELD_MS: 4_000,
  /**
   * Time for which a copy is complete, from when it was asked for. Clocks may
   * differ by 2%.
   */
  VALID_MS: 3_900,
  /**
   * Time after an entry node has handed a job over within which the dispatcher
   * before may start its tasks: it drops the job 1,000 ms after its last contact.
   */
  LAST_START_MS: 1_200,
} as const;
