import type {Cancellable} from '../../src/core/clock/cancellable.js';
import type {Clock} from '../../src/core/clock/clock.js';

type Task = () => void;

/**
 * Event loop of one process, which can be held up. What becomes due meanwhile waits.
 * When the loop goes on, timers run before the messages and disk operations that
 * have arrived, as in Node.js.
 */
export class FakeEventLoop {
  private heldUntil = Number.NEGATIVE_INFINITY;
  private isHeld = false;
  private timers: Task[] = [];
  private arrived: Task[] = [];
  private suspendedAt: number | undefined;
  /** Length of all earlier suspensions, which the steady clock doesn't count. */
  private suspendedMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Steady clock of the machine. */
  now(): number {
    return (this.suspendedAt ?? this.clock.now()) - this.suspendedMs;
  }

  runTimer(task: Task): void {
    if (this.isHeld) this.timers.push(task);
    else task();
  }

  /** Runs the callback of a message or of a disk operation. */
  receive(task: Task): void {
    if (this.isHeld) this.arrived.push(task);
    else task();
  }

  /** Runs nothing for a time, which the steady clock counts. */
  stall(forMs: number): void {
    const until = this.clock.now() + forMs;
    this.isHeld = true;
    this.heldUntil = Math.max(this.heldUntil, until);
    this.clock.schedule(forMs, () => this.release());
  }

  /** Runs nothing for a time, which the steady clock doesn't count. */
  suspend(forMs: number): void {
    this.suspendedAt ??= this.clock.now();
    this.stall(forMs);
  }

  /** Runs only once in each interval, for a time or until it is cancelled. */
  lag(intervalMs: () => number, forMs = Number.POSITIVE_INFINITY): Cancellable {
    const endsAt = this.clock.now() + forMs;
    let isCancelled = false;
    const step = () => {
      const restMs = endsAt - this.clock.now();
      if (isCancelled || restMs <= 0) return;
      const waitMs = Math.min(intervalMs(), restMs);
      this.stall(waitMs);
      this.clock.schedule(waitMs, step);
    };
    step();
    return {
      cancel: () => {
        isCancelled = true;
      },
    };
  }

  private release(): void {
    const now = this.clock.now();
    if (!this.isHeld || now < this.heldUntil) return;
    this.isHeld = false;
    if (this.suspendedAt !== undefined) {
      this.suspendedMs += now - this.suspendedAt;
      this.suspendedAt = undefined;
    }
    const due = [...this.timers, ...this.arrived];
    this.timers = [];
    this.arrived = [];
    for (const task of due) task();
  }
}
