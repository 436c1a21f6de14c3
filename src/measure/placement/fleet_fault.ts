/** What happens to workers and tasks of a simulated fleet. */
export interface FleetFault {
  readonly name: string;
  /** Share of the workers that the fault concerns, from 6 s to 12 s. */
  readonly share: number;
  /** Run-time factor on these workers. */
  readonly slowdown: number;
  /** Share of the runs that fail on these workers. */
  readonly failureRate: number;
  /** Whether the workers are whole racks. */
  readonly byRack: boolean;
  /** Share of tasks that take seven times as long. */
  readonly longShare: number;
  /** Share of runs that never end by themselves. */
  readonly hangShare: number;
}
