/** Why an operation on the data folder failed. */
export interface DiskError {
  /** `full`: no space. `sync`: written data may be lost. `io`: any other. */
  readonly kind: 'full' | 'sync' | 'io';
  readonly detail: string;
}
