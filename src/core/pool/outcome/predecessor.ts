/** What a new dispatcher knows of the starts of the one before it. */
export interface Predecessor {
  /** Jobs of which earlier dispatchers have started a task. */
  readonly startedJobs: readonly string[];
  /**
   * Latest time of its last order for which `startedJobs` and the workers' lists
   * contain all jobs that it started; negative infinity if that is not known.
   */
  readonly recordCompleteUntil: number;
}
