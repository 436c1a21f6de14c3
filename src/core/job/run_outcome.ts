/** What a refusal or a failure says about the work itself. */
export const RunOutcome = {
  /** Nothing of the request was started, and nothing of it will be. */
  notRun: 'not_run',
  /** Some of it ran; every attempt is known to have ended. */
  failed: 'failed',
  /** Some of it may have run or may still be running. */
  unknown: 'outcome_unknown',
} as const;

export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];
