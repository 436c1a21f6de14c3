import type {Cancellable} from '../../../src/core/clock/cancellable.js';
import type {Clock} from '../../../src/core/clock/clock.js';

/**
 * Clock of one node. During a suspension nothing runs; at its end, the overdue
 * timers fire before the messages that have arrived are read.
 */
export class SuspendableClock implements Clock {
  /**
   * Interval at which the node gets the processor, if it is starved; between, it
   * is suspended.
   */
  lagMs = 0;
  /**
   * Whether each such interval is one turn of a busy event loop, which asks at its
   * start which sockets are readable. The messages of other nodes are read all the
   * time; a caller's connection that becomes readable in one turn is read at the end
   * of the next one. Timers fire between two turns.
   */
  isBusy = false;
  private suspendedAt: number | undefined;
  private isCounted = true;
  /** Suspensions that did not count, on the clock of the network. */
  private readonly pauses: Array<{from: number; to: number}> = [];
  private overdue: Array<() => void> = [];
  private arrived: Array<() => void> = [];
  /** Messages of callers that have arrived in the present turn. */
  private fromCallers: Array<() => void> = [];
  /** The same of the turn before, which are read at the end of the present one. */
  private readable: Array<() => void> = [];
  private isResuming = false;
  /** Tasks to run at the end of the suspension, after the messages. */
  private afterArrived: Array<() => void> = [];

  constructor(readonly clock: Clock) {}

  get isSuspended(): boolean {
    return this.suspendedAt !== undefined;
  }

  set isSuspended(isSuspended: boolean) {
    this.suspendedAt = isSuspended
      ? (this.suspendedAt ?? this.clock.now())
      : undefined;
  }

  now(): number {
    return this.ownTimeOf(this.clock.now());
  }

  elapsed(): number {
    return this.clock.now();
  }

  /** Time of this clock at a time of the network's clock. */
  ownTimeOf(at: number): number {
    let own = at;
    for (const {from, to} of this.pauses) {
      own -= Math.max(0, Math.min(at, to) - from);
    }
    return own;
  }

  schedule(delayMs: number, task: () => void): Cancellable {
    let isCancelled = false;
    const dueAt = this.now() + delayMs;
    const fire = () => {
      if (isCancelled) return;
      const leftMs = dueAt - this.now();
      if (this.isSuspended) this.overdue.push(fire);
      else if (leftMs > 0) timer = this.clock.schedule(leftMs, fire);
      else task();
    };
    let timer = this.clock.schedule(delayMs, fire);
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

  afterInput(task: () => void): void {
    // Messages that arrive while the node is not suspended are handled at once.
    if (this.isBusy) this.fromCallers.push(task);
    else if (this.isResuming) this.afterArrived.push(task);
    else task();
  }

  /** Handles an arriving message, during a suspension at its end. */
  receive(handle: () => void): void {
    if (this.isSuspended && !this.isBusy) this.arrived.push(handle);
    else handle();
  }

  /**
   * Begins a suspension. One that is not counted is of the machine: its steady clock
   * stands still, and its timers with it.
   */
  suspend(isCounted = true): void {
    this.isSuspended = true;
    this.isCounted = isCounted;
  }

  /** Handles what a caller has sent, or that its connection has been closed. */
  receiveFromCaller(handle: () => void): void {
    if (this.isBusy) this.fromCallers.push(handle);
    else this.receive(handle);
  }

  /** Lets the node run only every `lagMs`; 0 ends that. See `isBusy`. */
  starve(lagMs: number, isBusy = false): void {
    if (lagMs === 0) return this.endTurns();
    this.lagMs = lagMs;
    this.isBusy = isBusy;
    this.isSuspended = true;
  }

  /** Ends a suspension; `tick` is a timer that has become due in it. */
  resume(tick: () => void = () => undefined): void {
    if (this.suspendedAt !== undefined && !this.isCounted) {
      this.pauses.push({from: this.suspendedAt, to: this.clock.now()});
    }
    this.isSuspended = false;
    this.isCounted = true;
    this.isResuming = true;
    const due = [...this.readable, ...this.overdue, tick, ...this.arrived];
    this.readable = [];
    this.overdue = [];
    this.arrived = [];
    for (const act of due) act();
    this.isResuming = false;
    this.readable = this.fromCallers;
    this.fromCallers = [];
    const after = this.afterArrived;
    this.afterArrived = [];
    for (const act of after) act();
  }

  private endTurns(): void {
    this.lagMs = 0;
    this.isBusy = false;
    this.arrived.push(...this.readable, ...this.fromCallers);
    this.readable = [];
    this.fromCallers = [];
    this.resume();
  }
}
