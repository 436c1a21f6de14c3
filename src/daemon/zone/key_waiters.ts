import type {Clock} from '../../core/clock/clock.js';

/** Requests that wait for something to happen to a job. */
export class KeyWaiters {
  private readonly waiting = new Map<string, Set<() => void>>();

  constructor(private readonly clock: Clock) {}

  /** Settles when the key is woken, or after `limitMs`. */
  wait(key: string, limitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wakes = this.waiting.get(key) ?? new Set();
      this.waiting.set(key, wakes);
      const wake = () => {
        timer.cancel();
        wakes.delete(wake);
        if (wakes.size === 0) this.waiting.delete(key);
        resolve();
      };
      const timer = this.clock.schedule(limitMs, wake);
      wakes.add(wake);
    });
  }

  wake(key: string): void {
    for (const wake of [...(this.waiting.get(key) ?? [])]) wake();
  }

  wakeAll(): void {
    for (const key of [...this.waiting.keys()]) this.wake(key);
  }
}
