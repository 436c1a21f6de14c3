import type {Cancellable} from '../../../src/core/clock/cancellable.js';
import type {Clock} from '../../../src/core/clock/clock.js';

/**
 * Clock of one node. During a suspension nothing runs; at its end, the overdue
 * timers fire before the messages that have arrived are read.
 */
export class SuspendableClock implements Clock {
  isSuspended = false;
  /**
   * Interval at which the node gets the processor, if it is starved; between, it
   * is suspended.
   */
  lagMs = 0;
  private overdue: Array<() => void> = [];
  private arrived: Array<() => void> = [];

  constructor(readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  schedule(delayMs: number, task: () => void): Cancellable {
    let isCancelled = false;
    const timer = this.clock.schedule(delayMs, () => {
      const run = () => {
        if (!isCancelled) task();
      };
      if (this.isSuspended) this.overdue.push(run);
      else run();
    });
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  defer(task: () => void): void {
    this.schedule(0, task);
  }

  /** Handles an arriving message, during a suspension at its end. */
  receive(handle: () => void): void {
    if (this.isSuspended) this.arrived.push(handle);
    else handle();
  }

  /** Ends a suspension; `tick` is a timer that has become due in it. */
  resume(tick: () => void = () => undefined): void {
    this.isSuspended = false;
    const due = [...this.overdue, tick, ...this.arrived];
    this.overdue = [];
    this.arrived = [];
    for (const act of due) act();
  }
}
