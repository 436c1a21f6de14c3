/** Settings of the leases of runs, in ms. */
export interface LeaseSettings {
  /** Longest lease that workers grant. */
  readonly leaseMs: number;
  /**
   * Time after which callers send a job again whose answer they did not receive.
   * Default: 1,300.
   */
  readonly resendMs?: number | undefined;
}
