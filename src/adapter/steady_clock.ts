import {performance} from 'node:perf_hooks';
import type {Cancellable} from '../core/clock/cancellable.js';
import type {Clock} from '../core/clock/clock.js';
import {ElapsedTime} from './elapsed_time.js';
import {runAfterTurns} from './run_after_turns.js';

/**
 * Monotonic clock: adjustments of the system time do not affect it. It starts
 * at the system time of the process start and excludes time in which the
 * machine is suspended.
 */
export class SteadyClock implements Clock {
  private isInTimer = false;
  private readonly elapsedTime = new ElapsedTime();

  now(): number {
    return performance.timeOrigin + performance.now();
  }

  elapsed(): number {
    return this.elapsedTime.now();
  }

  schedule(delayMs: number, task: () => void): Cancellable {
    const timer = setTimeout(() => this.runTimer(task), delayMs);
    return {cancel: () => clearTimeout(timer)};
  }

  defer(task: () => void): void {
    setImmediate(task);
  }

  /**
   * Timers are followed by a whole reading of the sockets; any other callback may run
   * in the middle of one, so that the next one counts.
   */
  afterInput(task: () => void): void {
    runAfterTurns(this.isInTimer ? 1 : 2, () => this.runTimer(task));
  }

  private runTimer(task: () => void): void {
    this.isInTimer = true;
    try {
      task();
    } finally {
      this.isInTimer = false;
    }
  }
}
