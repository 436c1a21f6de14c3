import {ZoneWorker} from '../overflow/zone_worker.js';
import type {WorkerAnnouncement} from './worker_announcement.js';
import type {WorkerObserver} from './worker_observer.js';
import {WorkerState} from './worker_state.js';

/**
 * Duration of a worker's lease. Several announcements fall within it, and it
 * bounds the time until the tasks of a lost worker are settled.
 */
const LEASE_MS = 3_000;
/** Covers clock drift between two hosts and delays of the event loop. */
const LEASE_MARGIN_MS = 250;

/**
 * A worker whose last announcement is older receives no starts: it may have
 * announced to another node that it is leaving. This bounds the starts sent to
 * a leaving worker to 2 s. By then three announcements are missing.
 */
const MAX_ANNOUNCEMENT_AGE_MS = 1_500;
/**
 * Longest remaining lease that a previous leader may have granted. A deposed
 * leader goes on granting leases until it steps down, which takes less than one
 * lease.
 */
const MAX_PREDECESSOR_LEASE_MS = 2 * LEASE_MS + LEASE_MARGIN_MS;
/** Time for which late announcements of an ended incarnation are refused. */
const RETIRED_INCARNATION_TTL_MS = 600_000;

interface AnnounceResult {
  /**
   * False if a later announcement was received before, or if the incarnation
   * was replaced or its lease expired.
   */
  readonly accepted: boolean;
  /** State of the previous incarnation that this one replaces. */
  readonly replaced: WorkerState | undefined;
}

/**
 * Workers of a zone and their leases. Not replicated; rebuilt from
 * announcements.
 */
export class WorkerRegistry {
  static readonly LEASE_MS = LEASE_MS;
  static readonly LEASE_MARGIN_MS = LEASE_MARGIN_MS;
  static readonly MAX_PREDECESSOR_LEASE_MS = MAX_PREDECESSOR_LEASE_MS;

  private readonly workers = new Map<string, WorkerState>();
  /** End times of ended incarnations, oldest first. */
  private readonly retired = new Map<string, number>();
  private readonly withheld: Array<(worker: WorkerState) => boolean> = [];
  private readonly observers: WorkerObserver[] = [];
  private readonly states: WorkerObserver = {
    eligibilityChanged: () => {
      for (const observer of this.observers) observer.eligibilityChanged();
    },
    usageChanged: worker => {
      for (const observer of this.observers) observer.usageChanged(worker);
    },
  };

  /** Adds a condition under which a worker gets no starts. */
  withhold(isWithheld: (worker: WorkerState) => boolean): void {
    this.withheld.push(isWithheld);
  }

  /** Whether starts are withheld from a worker although it accepts them. */
  isWithheld(worker: WorkerState): boolean {
    return this.withheld.some(isWithheld => isWithheld(worker));
  }

  /** Reports that a condition of `withhold` may have changed. */
  eligibilityChanged(): void {
    this.states.eligibilityChanged();
  }

  /** Adds an observer. */
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

  /** Records an announcement and renews the lease. */
  announce(announcement: WorkerAnnouncement, now: number): AnnounceResult {
    const known = this.workers.get(announcement.worker);
    const expiry = now + LEASE_MS + LEASE_MARGIN_MS;
    if (known && known.incarnation === announcement.incarnation) {
      if (announcement.sequence <= known.announcement.sequence) {
        return {accepted: false, replaced: undefined};
      }
      const before = known.announcement;
      const wasSilent = now - known.announcedAt > MAX_ANNOUNCEMENT_AGE_MS;
      known.announcement = announcement;
      known.announcedAt = now;
      known.leaseExpiresAt = Math.max(known.leaseExpiresAt, expiry);
      if (wasSilent || isCapacityChanged(before, announcement)) {
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

  /** Removes and returns the workers whose lease has expired. */
  expire(now: number): WorkerState[] {
    const expired: WorkerState[] = [];
    for (const worker of this.workers.values()) {
      if (worker.leaseExpiresAt > now) continue;
      this.workers.delete(worker.id);
      this.retire(worker, now);
      expired.push(worker);
    }
    for (const [key, at] of this.retired) {
      if (now - at < RETIRED_INCARNATION_TTL_MS) break;
      this.retired.delete(key);
    }
    if (expired.length > 0) this.states.eligibilityChanged();
    return expired;
  }

  /**
   * Extends every lease to the longest that a previous leader may have granted,
   * which a new leader does not know.
   */
  assumeLongestLeases(now: number): void {
    for (const worker of this.workers.values()) {
      worker.leaseExpiresAt = now + MAX_PREDECESSOR_LEASE_MS;
    }
  }

  /** Whether the worker may receive starts in this epoch now. */
  isStartable(worker: WorkerState, epoch: number, now: number): boolean {
    return (
      !worker.announcement.leaving &&
      worker.fencedEpoch === epoch &&
      now - worker.announcedAt <= MAX_ANNOUNCEMENT_AGE_MS &&
      worker.leaseExpiresAt - LEASE_MARGIN_MS > now &&
      !this.isWithheld(worker)
    );
  }

  /** Whether a registered worker could run such a task when idle. */
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
   * Refuses further announcements of the incarnation. Lending zones are exempt:
   * a zone keeps its incarnation across a partition, and it ignores starts that
   * it has already received, so its announcements may resume.
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
