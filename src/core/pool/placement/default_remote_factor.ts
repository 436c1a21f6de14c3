/** Slowdown of a task outside the rack of its data, unless the settings say. */
export const DEFAULT_REMOTE_FACTOR = 2;
