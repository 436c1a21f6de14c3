/** What the logs of all nodes tell about one run of a task; times in ms. */
export interface TaskRun {
  readonly task: string;
  readonly run: number;
  worker: string | undefined;
  /** Nodes whose dispatchers have named the run. */
  readonly nodes: Set<string>;
  /** Fencing token of the dispatcher that started the run, if it is logged. */
  token: number | undefined;
  /** Earliest time at which the run may have been active. */
  from: number;
  /** Latest time at which the run was active or its end was reported. */
  activeUntil: number;
  /** How it ended, or why it counts as over; undefined if that is not logged. */
  how: string | undefined;
}
