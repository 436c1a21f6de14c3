import {ZoneWorker} from '../overflow/zone_worker.js';
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

/**
 * A worker not heard of for this long gets no starts: it may have told another
 * dispatcher that it leaves, which bounds such starts to 2 s. Three
 * announcements are missing by then.
 */
const SILENCE_MS = 1_500;
/**
 * The longest lease that a worker may hold without this node's knowledge: a
 * deposed dispatcher grants leases until it notices, which takes less than one
 * lease.
 */
const MAX_PREDECESSOR_LEASE_MS = 2 * LEASE_MS + LEASE_MARGIN_MS;
/** For how long late announcements of an ended incarnation are refused. */
const RETIRED_MS = 600_000;

interface AnnounceResult {
  /**
   * False for an announcement that a newer one has overtaken, and for one of
   * an incarnation that was replaced or lost its lease.
   */
  readonly accepted: boolean;
  /** The state of the earlier incarnation that this one replaces. */
  readonly replaced: WorkerState | undefined;
}

/** The workers of a zone, with their leases. Soft state: rebuilt from announcements. */
export class WorkerRegistry {
  static readonly LEASE_MS = LEASE_MS;
  static readonly LEASE_MARGIN_MS = LEASE_MARGIN_MS;
  static readonly MAX_PREDECESSOR_LEASE_MS = MAX_PREDECESSOR_LEASE_MS;

  private readonly workers = new Map<string, WorkerState>();
  /** Ended incarnations with the time of their end, in order of time. */
  private readonly retired = new Map<string, number>();
  private readonly observers: WorkerObserver[] = [];
  private readonly states: WorkerObserver = {
    eligibilityChanged: () => {
      for (const observer of this.observers) observer.eligibilityChanged();
    },
    usageChanged: worker => {
      for (const observer of this.observers) observer.usageChanged(worker);
    },
  };

  /** Adds a receiver of changes of eligibility and usage. */
  observe(observer: WorkerObserver): void {
    this.observers.push(observer);
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
      known.announcedAt = now;
      known.leaseExpiresAt = Math.max(known.leaseExpiresAt, expiry);
      if (isCapacityChanged(before, announcement)) {
        this.states.eligibilityChanged();
      } else {
        this.states.usageChanged(known);
      }
      return {accepted: true, replaced: undefined};
    }
    if (this.retired.has(retiredKey(announcement))) {
      return {accepted: false, replaced: undefined};
    }
    if (known) this.retire(known, now);
    const state = new WorkerState(announcement, expiry, this.states);
    state.announcedAt = now;
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
      this.retire(worker, now);
      expired.push(worker);
    }
    for (const [key, at] of this.retired) {
      if (now - at < RETIRED_MS) break;
      this.retired.delete(key);
    }
    if (expired.length > 0) this.states.eligibilityChanged();
    return expired;
  }

  /**
   * Extends every lease. A new dispatcher cannot know what its predecessor
   * granted last, so it assumes the longest.
   */
  assumeLongestLeases(now: number): void {
    for (const worker of this.workers.values()) {
      worker.leaseExpiresAt = now + MAX_PREDECESSOR_LEASE_MS;
    }
  }

  /** Whether the worker may be given a task now. */
  isStartable(worker: WorkerState, epoch: number, now: number): boolean {
    return (
      !worker.announcement.leaving &&
      worker.fencedEpoch === epoch &&
      now - worker.announcedAt <= SILENCE_MS &&
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
      if (worker.fitsWhenIdle(memoryMb, accelerators)) return true;
    }
    return false;
  }

  /**
   * A zone keeps its incarnation through a partition, and a start that it
   * knows already has no effect there, so it may come back.
   */
  private retire(worker: WorkerState, now: number): void {
    if (ZoneWorker.isZone(worker.id)) return;
    this.retired.set(retiredKey(worker.announcement), now);
  }
}

function retiredKey({worker, incarnation}: WorkerAnnouncement): string {
  return `${worker} ${incarnation}`;
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
