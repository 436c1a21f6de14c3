import type {Cancellable} from '../core/clock/cancellable.js';
import type {Clock} from '../core/clock/clock.js';

const INTERVAL_MS = 50;

/** Measures the delay with which the event loop runs its timers. */
export class EventLoopLag {
  private timer: Cancellable | undefined;

  constructor(
    private readonly clock: Clock,
    /** Called with each measured delay, in ms. */
    private readonly onLag: (lagMs: number) => void,
  ) {}

  start(): void {
    const dueAt = this.clock.now() + INTERVAL_MS;
    this.timer = this.clock.schedule(INTERVAL_MS, () => {
      this.onLag(Math.max(0, this.clock.now() - dueAt));
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }
}
