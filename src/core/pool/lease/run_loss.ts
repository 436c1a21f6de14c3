import type {LossCause} from './loss_cause.js';

/** What is known about a run that ended without a reported end. */
export interface RunLoss {
  readonly cause: LossCause;
  /** Start time of the process that was lost, in ms since the Unix epoch. */
  readonly bornAt: number;
  /**
   * Whether connections to the worker were refused since its last reply: its
   * process has probably crashed. A silent worker may have been cut off.
   */
  readonly isRefused: boolean;
  /** Age of the last reading of the worker's clock, if there is one. */
  readonly clockAgeMs?: number | undefined;
  /** Lease that was left at that reading. */
  readonly leaseLeftMs?: number | undefined;
}
