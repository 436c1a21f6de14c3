import type {Clock} from '../../core/clock/clock.js';

/** Requests that wait for an event of a job, by the job's key. */
export class KeyWaiters {
  private readonly waiting = new Map<string, Set<() => void>>();

  constructor(private readonly clock: Clock) {}

  /** Resolves when `wake` is called for the key, or after `limitMs`. */
  wait(key: string, limitMs: number): Promise<void> {
    return new Promise(resolve => {
      const callbacks = this.waiting.get(key) ?? new Set();
      this.waiting.set(key, callbacks);
      const wake = () => {
        timer.cancel();
        callbacks.delete(wake);
        if (callbacks.size === 0) this.waiting.delete(key);
        resolve();
      };
      const timer = this.clock.schedule(limitMs, wake);
      callbacks.add(wake);
    });
  }

  wake(key: string): void {
    for (const wake of [...(this.waiting.get(key) ?? [])]) wake();
  }

  wakeAll(): void {
    for (const key of [...this.waiting.keys()]) this.wake(key);
  }
}
