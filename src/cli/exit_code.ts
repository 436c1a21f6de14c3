/** Exit codes of the `pimentoyoke` program. */
export const ExitCode = {
  success: 0,
  /** The job failed or was cancelled. */
  jobFailed: 1,
  /** The command line or a file given in it is wrong. */
  usage: 2,
  /** Refused: nothing was run or changed, and nothing will be. */
  notRun: 3,
  /** The job may have run, or the change may have been made. */
  outcomeUnknown: 4,
  /** No connection; nothing was sent. */
  cannotConnect: 5,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
