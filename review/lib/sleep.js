import {setTimeout as after} from 'node:timers/promises';

/** Resolves after a time on the real clock, in ms. */
export function sleep(ms) {
  return after(Math.max(0, ms));
}
