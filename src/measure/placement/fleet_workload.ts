/** Kind of jobs: tasks per job, run time of a task and jobs per second. */
interface JobKind {
  readonly tasks: number;
  readonly runMs: number;
  readonly rate: number;
}

/** A fleet and its load, as in section 0 of docs/design/zones.md. */
export interface FleetWorkload {
  readonly name: string;
  readonly remoteFactor: number;
  readonly rackSize: number;
  /** Speeds of the workers, in equal shares. */
  readonly speeds: readonly number[];
  readonly kinds: readonly JobKind[];
  /** Amplitude of the swing of the load, as a share of its mean. */
  readonly swing: number;
}
