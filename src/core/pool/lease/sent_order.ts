/** An order that was sent to a worker, for its reply. */
export interface SentOrder {
  readonly at: number;
  /** Fencing token of the order. */
  readonly token: number;
  /** Process instance of the worker that was known then; undefined if none was. */
  readonly bornAt: number | undefined;
  /** How long the worker may wait for an end before it replies, in ms. */
  readonly waitMs: number;
}
