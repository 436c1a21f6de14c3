/** An accepted change. */
export interface ConfigOutcome {
  /** Version that the change made. */
  readonly version: number;
}
