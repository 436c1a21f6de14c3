/** Whether the tasks of a refused, failed or cancelled request ran. */
export const RunOutcome = {
  /** No task was started, and none will be. */
  notRun: 'not_run',
  /** At least one task ran; every attempt is known to have ended. */
  failed: 'failed',
  /** A task may have run or may still be running. */
  unknown: 'outcome_unknown',
} as const;

export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];
