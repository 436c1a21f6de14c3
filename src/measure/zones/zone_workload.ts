/** One kind of job of a workload. */
interface JobKind {
  /** Queue of the jobs. */
  readonly queue: string;
  readonly tasks: number;
  readonly taskMs: number;
  /** Rate in all zones together, in jobs per second. */
  readonly rate: number;
}

/** A deployment and its load, as section 0 of docs/design/zones.md states them. */
export interface ZoneWorkload {
  readonly name: string;
  readonly zones: number;
  readonly workers: number;
  readonly rackSize: number;
  /** Run-time factor of a task outside the rack of its data. */
  readonly remoteFactor: number;
  /** Speeds of the workers, in turn. */
  readonly speeds: readonly number[];
  /** One-way delay between zones, in ms. */
  readonly zoneDelayMs: number;
  /** Deviation of the load of a zone from its mean, as a share. */
  readonly swing: number;
  readonly swingPeriodMs: number;
  /** Phase between one zone and the next, as a share of the period. */
  readonly phaseShare: number;
  /** Share of the tasks that take seven times as long. */
  readonly longShare: number;
  readonly kinds: readonly JobKind[];
}
