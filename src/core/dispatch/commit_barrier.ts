import type {JobEvent} from '../job/job_event.js';

type Waiter = (isConfirmed: boolean) => void;

/**
 * Verifies that this node still led when it took a decision, by proposing a
 * no-op event: only the leader can commit it. All waiters of one event-loop
 * turn share one event.
 */
export class CommitBarrier {
  private nextId = 1;
  private isOpen = false;
  private readonly waiting = new Map<number, Waiter[]>();

  /** Adds a waiter; returns the event to propose for the first one only. */
  add(waiter: Waiter): JobEvent | undefined {
    if (this.isOpen) {
      this.waiting.get(this.nextId)?.push(waiter);
      return undefined;
    }
    this.isOpen = true;
    this.waiting.set(this.nextId, [waiter]);
    return {kind: 'barrier', id: this.nextId};
  }

  /** Called when the event is proposed; later waiters get a new event. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.nextId += 1;
  }

  /** Called when the event is committed. */
  committed(id: number): void {
    const waiters = this.waiting.get(id);
    this.waiting.delete(id);
    for (const waiter of waiters ?? []) waiter(true);
  }

  /** Fails all waiters after a change of leadership. */
  fail(): void {
    const waiters = [...this.waiting.values()].flat();
    this.waiting.clear();
    this.close();
    for (const waiter of waiters) waiter(false);
  }
}
