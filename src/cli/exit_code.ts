/** Exit codes of the `pimentoyoke` program. */
export const ExitCode = {
  success: 0,
  /** The job failed or was cancelled. */
  jobFailed: 1,
  /** The command line or an input file is invalid. */
  usage: 2,
  /** Request refused: nothing was run or changed, or will be later. */
  notRun: 3,
  /** The job may have run, or the change may have been made. */
  outcomeUnknown: 4,
  /** No connection was established, so nothing was sent. */
  cannotConnect: 5,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
