import type {RunningAttempt} from './running_attempt.js';
import type {WorkerAnnouncement} from './worker_announcement.js';

/**
 * A dispatcher's view of one worker. The attempts it has placed there are the
 * truth about the worker's slots; usage reports lag behind.
 */
export class WorkerState {
  readonly attempts = new Map<string, RunningAttempt>();
  /** Attempts of earlier dispatchers that still hold a slot. */
  readonly foreign = new Set<string>();
  memoryUsedMb = 0;
  acceleratorsUsed = 0;
  /** Epoch in which the worker confirmed its fence; 0 before the first. */
  fencedEpoch = 0;
  /** Epoch milliseconds of the last announcement that this node received. */
  announcedAt = 0;
  /** Epoch milliseconds of the worker's last answer of any kind. */
  lastContact = 0;
  /** Epoch milliseconds of the last settle or fence sent. */
  lastAsked = 0;
  /** Epoch milliseconds of the first settle or fence without an answer. */
  unansweredSince: number | undefined;

  constructor(
    public announcement: WorkerAnnouncement,
    /** Epoch milliseconds until which the worker may take starts. */
    public leaseExpiresAt: number,
  ) {}

  get id(): string {
    return this.announcement.worker;
  }

  get incarnation(): string {
    return this.announcement.incarnation;
  }

  get outstanding(): number {
    return this.attempts.size + this.foreign.size;
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
  couldHold(memoryMb: number, accelerators: number): boolean {
    const {announcement} = this;
    return (
      memoryMb <= announcement.memory_mb &&
      accelerators <= announcement.accelerators
    );
  }

  /** Whether memory and accelerators suffice beside what runs already. */
  hasRoom(memoryMb: number, accelerators: number): boolean {
    return this.couldHold(
      this.memoryUsedMb + memoryMb,
      this.acceleratorsUsed + accelerators,
    );
  }

  occupy(attempt: RunningAttempt): void {
    this.attempts.set(attempt.id, attempt);
    this.memoryUsedMb += attempt.memoryMb;
    this.acceleratorsUsed += attempt.accelerators;
  }

  /** Frees the slot of an attempt; undefined if it holds none. */
  release(id: string): RunningAttempt | undefined {
    this.foreign.delete(id);
    const attempt = this.attempts.get(id);
    if (!attempt) return undefined;
    this.attempts.delete(id);
    this.memoryUsedMb -= attempt.memoryMb;
    this.acceleratorsUsed -= attempt.accelerators;
    return attempt;
  }
}
