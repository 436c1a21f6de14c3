import type {RunningAttempt} from './running_attempt.js';
import type {WorkerAnnouncement} from './worker_announcement.js';
import type {WorkerObserver} from './worker_observer.js';

/**
 * A dispatcher's view of one worker. The attempts it has placed there are the
 * truth about the worker's slots; usage reports lag behind.
 */
export class WorkerState {
  readonly attempts = new Map<string, RunningAttempt>();
  /** Attempts of earlier dispatchers that still hold a slot. */
  readonly inheritedAttempts = new Set<string>();
  memoryUsedMb = 0;
  acceleratorsUsed = 0;
  /** Epoch milliseconds of the last announcement that this node received. */
  announcedAt = 0;
  /** Epoch milliseconds of the worker's last answer of any kind. */
  lastReplyAt = 0;
  /** Epoch milliseconds of the last settle or fence sent. */
  lastQueriedAt = 0;
  /** Epoch milliseconds of the first settle or fence without an answer. */
  unansweredSince: number | undefined;

  private fence = 0;
  private leaseEnd: number;

  constructor(
    public announcement: WorkerAnnouncement,
    leaseExpiresAt: number,
    private readonly observer?: WorkerObserver,
  ) {
    this.leaseEnd = leaseExpiresAt;
  }

  /** Epoch in which the worker confirmed its fence; 0 before the first. */
  get fencedEpoch(): number {
    return this.fence;
  }

  set fencedEpoch(epoch: number) {
    this.fence = epoch;
    this.observer?.eligibilityChanged();
  }

  /** Epoch milliseconds until which the worker may take starts. */
  get leaseExpiresAt(): number {
    return this.leaseEnd;
  }

  set leaseExpiresAt(at: number) {
    // A longer lease makes no worker ineligible, so nothing is recomputed.
    if (at < this.leaseEnd) this.observer?.eligibilityChanged();
    this.leaseEnd = at;
  }

  get id(): string {
    return this.announcement.worker;
  }

  get incarnation(): string {
    return this.announcement.incarnation;
  }

  get outstanding(): number {
    return this.attempts.size + this.inheritedAttempts.size;
  }

  /**
   * Slots that may take a start now. A running task holds a connection, and one
   * stays free for control messages.
   */
  get freeSlots(): number {
    const {slots, connections} = this.announcement;
    return Math.max(0, Math.min(slots, connections - 1) - this.outstanding);
  }

  serves(className: string): boolean {
    const {classes} = this.announcement;
    return classes.length === 0 || classes.includes(className);
  }

  /** Whether an idle worker of this size could hold the task. */
  fitsWhenIdle(memoryMb: number, accelerators: number): boolean {
    const {announcement} = this;
    return (
      memoryMb <= announcement.memory_mb &&
      accelerators <= announcement.accelerators
    );
  }

  /** Whether memory and accelerators suffice beside what runs already. */
  hasCapacityFor(memoryMb: number, accelerators: number): boolean {
    return this.fitsWhenIdle(
      this.memoryUsedMb + memoryMb,
      this.acceleratorsUsed + accelerators,
    );
  }

  occupy(attempt: RunningAttempt): void {
    this.attempts.set(attempt.id, attempt);
    this.memoryUsedMb += attempt.memoryMb;
    this.acceleratorsUsed += attempt.accelerators;
    this.observer?.usageChanged(this);
  }

  /** Frees the slot of an attempt; undefined if it holds none. */
  release(id: string): RunningAttempt | undefined {
    const wasForeign = this.inheritedAttempts.delete(id);
    const attempt = this.attempts.get(id);
    if (attempt) {
      this.attempts.delete(id);
      this.memoryUsedMb -= attempt.memoryMb;
      this.acceleratorsUsed -= attempt.accelerators;
    }
    if (attempt || wasForeign) this.observer?.usageChanged(this);
    return attempt;
  }
}
