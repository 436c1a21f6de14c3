import type {Cancellable} from '../core/clock/cancellable.js';
import type {Clock} from '../core/clock/clock.js';
import {ElapsedTime} from './elapsed_time.js';
import {runAfterTurns} from './run_after_turns.js';

/** Clock that reads the system time and uses the timers of the event loop. */
export class SystemClock implements Clock {
  private readonly elapsedTime = new ElapsedTime();

  now(): number {
    return Date.now();
  }

  elapsed(): number {
    return this.elapsedTime.now();
  }

  schedule(delayMs: number, task: () => void): Cancellable {
    const timer = setTimeout(task, delayMs);
    return {cancel: () => clearTimeout(timer)};
  }

  defer(task: () => void): void {
    setImmediate(task);
  }

  /** See SteadyClock, which saves a turn of the event loop after timers. */
  afterInput(task: () => void): void {
    runAfterTurns(2, task);
  }
}
