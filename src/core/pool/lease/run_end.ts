/** How a run on a worker ended. */
export const RunEnd = {
  done: 'done',
  /** Through a fault of the task or of the worker. */
  failed: 'failed',
  /** On request. */
  stopped: 'stopped',
  /** The worker's lease expired. */
  lapsed: 'lapsed',
  /** The run is no longer active, and its result is unknown. */
  lost: 'lost',
} as const;

/** How a run on a worker ended. */
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];
