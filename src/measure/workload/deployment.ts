/** Size and delays of a deployment; see section 1.1 of the design. */
export interface Deployment {
  readonly name: string;
  readonly zones: number;
  readonly workers: number;
  readonly slots: number;
  readonly rackSize: number;
  /** One-way delay in milliseconds between zones. */
  readonly zoneDelayMs: number;
  /** One-way delay in milliseconds between a caller and its entry VM. */
  readonly callerDelayMs: number;
}
