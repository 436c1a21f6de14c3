/** Pressure of another entry node of the zone, as it stated last. */
export interface PeerPressure {
  readonly node: string;
  /** From 0 to 1; see NodePressure. */
  readonly pressure: number;
  /** Whether the node reports that it is not ready because of its pressure. */
  readonly isRelieved: boolean;
}
