/** An accepted change. */
export interface ChangeOutcome {
  /** Version that the change produced. */
  readonly version: number;
}
