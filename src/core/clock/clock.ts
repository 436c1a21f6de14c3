import type {Cancellable} from './cancellable.js';

/** Source of time for every decision; tests pass a fake one. */
export interface Clock {
  /** Milliseconds since the Unix epoch, as `Date.now` gives them. */
  now(): number;

  /** Runs `task` once after `delayMs` unless it is cancelled first. */
  schedule(delayMs: number, task: () => void): Cancellable;

  /** Runs `task` after the current turn of the event loop. */
  defer(task: () => void): void;
}
