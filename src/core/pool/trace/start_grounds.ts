/** Why a task that has or may have run before is started. */
export const StartGrounds = {
  /** Its run under this dispatcher counts as over. */
  runOver: 'run_over',
  /** All workers have accepted a higher token than the earlier dispatcher's. */
  settledByToken: 'settled_by_token',
  /** The time is over in which runs of the earlier dispatcher may be active. */
  settledByTime: 'settled_by_time',
  /** Its entry node has set no time to wait after the change of dispatcher. */
  dispatcherChanged: 'dispatcher_changed',
  /** Its job may have run before and was sent again. */
  sentAgain: 'sent_again',
} as const;

/** Why a task that has or may have run before is started. */
export type StartGrounds = (typeof StartGrounds)[keyof typeof StartGrounds];
