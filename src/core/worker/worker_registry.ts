import type {WorkerAnnouncement} from './worker_announcement.js';
import type {WorkerObserver} from './worker_observer.js';
import {WorkerState} from './worker_state.js';

/**
 * How long a worker may go on without a new grant. It bounds the wait before
 * the tasks of a lost worker are settled; workers announce several times in it.
 */
const LEASE_MS = 3_000;
/** Covers the skew of two clocks' rates and the delay of an event loop. */
const LEASE_MARGIN_MS = 250;

interface AnnounceResult {
  /** False for an announcement that a newer one has overtaken. */
  readonly accepted: boolean;
  /** The state of the earlier incarnation that this one replaces. */
  readonly replaced: WorkerState | undefined;
}

/** The workers of a zone, with their leases. Soft state: rebuilt from announcements. */
export class WorkerRegistry {
  static readonly LEASE_MS = LEASE_MS;
  static readonly LEASE_MARGIN_MS = LEASE_MARGIN_MS;

  private readonly workers = new Map<string, WorkerState>();
  private observer: WorkerObserver | undefined;
  private readonly states: WorkerObserver = {
    eligibilityChanged: () => this.observer?.eligibilityChanged(),
    usageChanged: worker => this.observer?.usageChanged(worker),
  };

  /** Sets the one receiver of changes of eligibility and usage. */
  observe(observer: WorkerObserver): void {
    this.observer = observer;
  }

  get size(): number {
    return this.workers.size;
  }

  get(id: string): WorkerState | undefined {
    return this.workers.get(id);
  }

  list(): IterableIterator<WorkerState> {
    return this.workers.values();
  }

  /** Takes an announcement and renews the lease. */
  announce(announcement: WorkerAnnouncement, now: number): AnnounceResult {
    const known = this.workers.get(announcement.worker);
    const expiry = now + LEASE_MS + LEASE_MARGIN_MS;
    if (known && known.incarnation === announcement.incarnation) {
      if (announcement.sequence <= known.announcement.sequence) {
        return {accepted: false, replaced: undefined};
      }
      const before = known.announcement;
      known.announcement = announcement;
      known.leaseExpiresAt = expiry;
      if (isCapacityChanged(before, announcement)) {
        this.states.eligibilityChanged();
      } else {
        this.states.usageChanged(known);
      }
      return {accepted: true, replaced: undefined};
    }
    const state = new WorkerState(announcement, expiry, this.states);
    this.workers.set(announcement.worker, state);
    this.states.eligibilityChanged();
    return {accepted: true, replaced: known};
  }

  /** Removes and returns the workers whose lease has ended. */
  expire(now: number): WorkerState[] {
    const expired: WorkerState[] = [];
    for (const worker of this.workers.values()) {
      if (worker.leaseExpiresAt > now) continue;
      this.workers.delete(worker.id);
      expired.push(worker);
    }
    if (expired.length > 0) this.states.eligibilityChanged();
    return expired;
  }

  /**
   * Extends every lease to a full one. A new dispatcher cannot know what its
   * predecessor granted last, so it assumes the longest.
   */
  assumeFreshLeases(now: number): void {
    for (const worker of this.workers.values()) {
      worker.leaseExpiresAt = now + LEASE_MS + LEASE_MARGIN_MS;
    }
  }

  /** Whether the worker may be given a task now. */
  isStartable(worker: WorkerState, epoch: number, now: number): boolean {
    return (
      !worker.announcement.leaving &&
      worker.fencedEpoch === epoch &&
      worker.leaseExpiresAt - LEASE_MARGIN_MS > now
    );
  }

  /** Whether any known worker could ever hold such a task. */
  isPlaceable(
    className: string,
    memoryMb: number,
    accelerators: number,
  ): boolean {
    for (const worker of this.workers.values()) {
      if (!worker.serves(className)) continue;
      if (worker.couldHold(memoryMb, accelerators)) return true;
    }
    return false;
  }
}

function isCapacityChanged(
  before: WorkerAnnouncement,
  after: WorkerAnnouncement,
): boolean {
  return (
    before.leaving !== after.leaving ||
    before.slots !== after.slots ||
    before.connections !== after.connections
  );
}
