import type {RunningAttempt} from './running_attempt.js';
import type {WorkerAnnouncement} from './worker_announcement.js';
import type {WorkerObserver} from './worker_observer.js';

/**
 * State of one worker in the dispatcher. Its slot usage is computed from the
 * attempts placed on it, because the worker's own usage reports lag behind.
 */
export class WorkerState {
  readonly attempts = new Map<string, RunningAttempt>();
  /** Ids of attempts started by a previous leader that still hold a slot. */
  readonly inherited = new Set<string>();
  memoryUsedMb = 0;
  acceleratorsUsed = 0;
  /** Epoch milliseconds of the last announcement received by this node. */
  announcedAt = 0;
  /** Epoch milliseconds of the worker's last reply of any kind. */
  lastReplyAt = 0;
  /** Epoch milliseconds of the last settle or fence sent. */
  lastQueriedAt = 0;
  /** Epoch milliseconds of the first settle or fence that got no reply. */
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

  /** Last epoch for which the worker confirmed a fence; 0 if none. */
  get fencedEpoch(): number {
    return this.fence;
  }

  set fencedEpoch(epoch: number) {
    this.fence = epoch;
    this.observer?.eligibilityChanged();
  }

  /** End of the worker's lease, in epoch milliseconds. */
  get leaseExpiresAt(): number {
    return this.leaseEnd;
  }

  set leaseExpiresAt(at: number) {
    // A longer lease makes no worker ineligible, so no observer is notified.
    if (at < this.leaseEnd) this.observer?.eligibilityChanged();
    this.leaseEnd = at;
  }

  get id(): string {
    return this.announcement.worker;
  }

  get incarnation(): string {
    return this.announcement.incarnation;
  }

  /** Number of attempts that hold a slot. */
  get outstanding(): number {
    return this.attempts.size + this.inherited.size;
  }

  /**
   * Number of slots available for starts. Each running task uses a connection,
   * and one connection is reserved for control messages.
   */
  get freeSlots(): number {
    const {slots, connections} = this.announcement;
    return Math.max(0, Math.min(slots, connections - 1) - this.outstanding);
  }

  serves(className: string): boolean {
    const {classes} = this.announcement;
    return classes.length === 0 || classes.includes(className);
  }

  /** Whether the worker could run such a task when idle. */
  fitsWhenIdle(memoryMb: number, accelerators: number): boolean {
    const {announcement} = this;
    return (
      memoryMb <= announcement.memory_mb &&
      accelerators <= announcement.accelerators
    );
  }

  /** Whether enough memory and accelerators are free for such a task. */
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

  /**
   * Frees the slot of an attempt. Returns the attempt unless it is unknown or
   * inherited.
   */
  release(id: string): RunningAttempt | undefined {
    const wasInherited = this.inherited.delete(id);
    const attempt = this.attempts.get(id);
    if (attempt) {
      this.attempts.delete(id);
      this.memoryUsedMb -= attempt.memoryMb;
      this.acceleratorsUsed -= attempt.accelerators;
    }
    if (attempt || wasInherited) this.observer?.usageChanged(this);
    return attempt;
  }
}
