/** One job of a workload, the same for every policy that is measured. */
export interface TraceJob {
  /** Milliseconds from the start of the run. */
  readonly atMs: number;
  readonly className: string;
  readonly tenant: string;
  readonly taskMs: readonly number[];
  /** Milliseconds from the start of the run; undefined for no cancel. */
  readonly cancelAtMs: number | undefined;
  /** Marks the jobs of a flood. */
  readonly isFlood: boolean;
}
