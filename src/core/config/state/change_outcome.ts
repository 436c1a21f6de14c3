/** Result of an accepted change. */
export interface ChangeOutcome {
  /** Version created by the change. */
  readonly version: number;
}
