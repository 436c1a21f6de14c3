/** Outcome of an accepted configuration change. */
export interface ConfigOutcome {
  /** Configuration version that contains the change. */
  readonly version: number;
}
