/** How a run on a worker ended. */
export const RunEnd = {
  done: 'done',
  /** Through its own fault or the worker's. */
  failed: 'failed',
  /** On request. */
  stopped: 'stopped',
  /** The worker's lease expired. */
  lapsed: 'lapsed',
  /** It is not known how; it no longer runs. */
  lost: 'lost',
} as const;

/** How a run on a worker ended. */
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];
