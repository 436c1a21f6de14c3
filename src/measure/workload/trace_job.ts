/** Job of a trace. All measured policies get the same jobs. */
export interface TraceJob {
  /** Arrival time, in ms since the start of the run. */
  readonly atMs: number;
  readonly className: string;
  readonly tenant: string;
  readonly taskMs: readonly number[];
  /** Cancel time, in ms since the start of the run; undefined for none. */
  readonly cancelAtMs: number | undefined;
  /** Whether the job belongs to a flood. */
  readonly isFlood: boolean;
}
