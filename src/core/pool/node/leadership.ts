/** Leadership of the replicated log by this node. */
export interface Leadership {
  readonly term: number;
  /** When a majority last confirmed the leadership. */
  readonly confirmedAt: number;
  /** Whether all entries of earlier terms are committed. */
  readonly isSettled: boolean;
  /** Time before the term in which no other node can have led, in ms. */
  readonly silentMs: number;
}
