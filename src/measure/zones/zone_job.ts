/** A job of a drawn workload. */
export interface ZoneJob {
  readonly id: string;
  /** Index of the zone whose callers send it. */
  readonly zone: number;
  readonly atMs: number;
  readonly queue: string;
  readonly taskMs: number;
  /** Run time of each task on a worker of normal speed, in its data's rack. */
  readonly runMs: readonly number[];
  readonly cpu: number;
  /** Rack that holds its data; undefined if it has none. */
  readonly dataRack: string | undefined;
}
