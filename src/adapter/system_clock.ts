import type {Cancellable} from '../core/clock/cancellable.js';
import type {Clock} from '../core/clock/clock.js';

/** Clock that reads the system time and uses the timers of the event loop. */
export class SystemClock implements Clock {
  now(): number {
    return Date.now();
  }

  schedule(delayMs: number, task: () => void): Cancellable {
    const timer = setTimeout(task, delayMs);
    return {cancel: () => clearTimeout(timer)};
  }

  defer(task: () => void): void {
    setImmediate(task);
  }
}
