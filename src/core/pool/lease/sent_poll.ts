/** A poll that was sent to a worker. */
export interface SentPoll {
  readonly at: number;
  /** Fencing token of the order. */
  readonly token: number;
  /** How long the worker waits for an end before it replies, in ms. */
  readonly waitMs: number;
}
