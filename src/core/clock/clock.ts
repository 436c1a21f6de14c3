import type {Cancellable} from './cancellable.js';

/** Source of time and timers; tests use a fake clock. */
export interface Clock {
  /** Milliseconds since the Unix epoch, as `Date.now` returns them. */
  now(): number;

  /**
   * Monotonic time in ms that includes suspensions of the machine, in which `now`
   * may stand still. Differences between two readings never understate the time
   * that has passed.
   */
  elapsed(): number;

  /** Runs `task` once after `delayMs` unless it is cancelled first. */
  schedule(delayMs: number, task: () => void): Cancellable;

  /** Runs `task` after the current turn of the event loop. */
  defer(task: () => void): void;

  /**
   * Runs `task` once all that had arrived on open connections before the call has
   * been handled, also that they were closed.
   */
  afterInput(task: () => void): void;
}
