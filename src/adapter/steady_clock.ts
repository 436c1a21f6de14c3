import {performance} from 'node:perf_hooks';
import type {Cancellable} from '../core/clock/cancellable.js';
import type {Clock} from '../core/clock/clock.js';

/**
 * A clock that steps of the time of day do not move. It begins at the time of
 * day and does not count the time in which the machine is suspended.
 */
export class SteadyClock implements Clock {
  now(): number {
    return performance.timeOrigin + performance.now();
  }

  schedule(delayMs: number, task: () => void): Cancellable {
    const timer = setTimeout(task, delayMs);
    return {cancel: () => clearTimeout(timer)};
  }

  defer(task: () => void): void {
    setImmediate(task);
  }
}
