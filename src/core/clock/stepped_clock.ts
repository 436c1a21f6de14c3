import type {Cancellable} from './cancellable.js';
import type {Clock} from './clock.js';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly task: () => void;
  cancelled: boolean;
}

/** Simulated clock that moves only on `advance` and `step`. */
export class SteppedClock implements Clock {
  /** Binary heap of pending timers, by time and then by order of creation. */
  private readonly heap: Timer[] = [];
  private order = 0;

  constructor(private time = 1_700_000_000_000) {}

  now(): number {
    return this.time;
  }

  elapsed(): number {
    return this.time;
  }

  schedule(delayMs: number, task: () => void): Cancellable {
    this.order += 1;
    const timer: Timer = {
      at: this.time + Math.max(0, delayMs),
      order: this.order,
      task,
      cancelled: false,
    };
    this.push(timer);
    return {
      cancel: () => {
        timer.cancelled = true;
      },
    };
  }

  defer(task: () => void): void {
    this.schedule(0, task);
  }

  /** Runs the task at once: simulated messages are handled as they arrive. */
  afterInput(task: () => void): void {
    task();
  }

  /** Moves the clock by `ms` milliseconds and runs the timers due by then. */
  advance(ms: number): void {
    const end = this.time + ms;
    for (;;) {
      const next = this.heap[0];
      if (!next || next.at > end) break;
      this.pop();
      if (next.cancelled) continue;
      this.time = Math.max(this.time, next.at);
      next.task();
    }
    this.time = end;
  }

  /** Moves the clock to the next timer and runs it; false if there is none. */
  step(): boolean {
    for (;;) {
      const next = this.pop();
      if (!next) return false;
      if (next.cancelled) continue;
      this.time = Math.max(this.time, next.at);
      next.task();
      return true;
    }
  }

  private push(timer: Timer): void {
    const {heap} = this;
    let at = heap.push(timer) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = timer;
  }

  private pop(): Timer | undefined {
    const {heap} = this;
    const top = heap[0];
    const last = heap.pop();
    if (!top || !last || heap.length === 0) return top;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
        child += 1;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
    return top;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
