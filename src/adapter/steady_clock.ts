import {performance} from 'node:perf_hooks';
import type {Cancellable} from '../core/clock/cancellable.js';
import type {Clock} from '../core/clock/clock.js';

/**
 * Monotonic clock: adjustments of the system time do not affect it. It starts
 * at the system time of the process start and excludes time in which the
 * machine is suspended.
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
