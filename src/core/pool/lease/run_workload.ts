/** What a run has to do, from which its run time is expected. */
export interface RunWorkload {
  readonly queue: string;
  /** Caller's estimate of the run time. */
  readonly estimatedMs: number;
  /** Slowdown of the run by its distance to its data. */
  readonly distanceFactor: number;
}
