import type {JobEvent} from '../job/job_event.js';

type Waiter = (isConfirmed: boolean) => void;

/**
 * Finds out whether this node still led when it decided something: an event
 * that does nothing is proposed, and only the leader can commit it. All waiters
 * of one turn share one event.
 */
export class CommitBarrier {
  private nextId = 1;
  private isOpen = false;
  private readonly waiting = new Map<number, Waiter[]>();

  /** Adds a waiter; returns the event to propose unless one is open. */
  add(waiter: Waiter): JobEvent | undefined {
    if (this.isOpen) {
      this.waiting.get(this.nextId)?.push(waiter);
      return undefined;
    }
    this.isOpen = true;
    this.waiting.set(this.nextId, [waiter]);
    return {kind: 'barrier', id: this.nextId};
  }

  /** The events of this turn are proposed; later waiters need another one. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.nextId += 1;
  }

  passed(id: number): void {
    const waiters = this.waiting.get(id);
    this.waiting.delete(id);
    for (const waiter of waiters ?? []) waiter(true);
  }

  /** The lead is lost or new: nothing open can be confirmed. */
  fail(): void {
    const waiters = [...this.waiting.values()].flat();
    this.waiting.clear();
    this.close();
    for (const waiter of waiters) waiter(false);
  }
}
