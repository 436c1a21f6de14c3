import {SubmissionGate} from '../dispatch/submission_gate.js';
import type {WorkerAnnouncement} from '../worker/worker_announcement.js';
import type {SpareCapacity} from './spare_capacity.js';
import {ZoneWorker} from './zone_worker.js';

/** At 250 ms, more starts are refused because the offered slot is taken. */
const OFFER_INTERVAL_MS = 100;
/**
 * An unchanged offer is repeated at this interval. It renews the lease of 3 s
 * in the borrowing zone and tolerates the loss of one message.
 */
const RENEW_INTERVAL_MS = 1_400;

/** Age of the zone's group before which no slots are offered. */
const MIN_GROUP_AGE_MS = 2 * SubmissionGate.MAX_CLOCK_SKEW_MS;

interface SpareCapacityAnnouncerOptions {
  readonly zone: string;
  /** The other zones. */
  readonly zones: readonly string[];
  readonly spare: SpareCapacity;
  /** Number of tasks that run in this zone, by borrowing zone. */
  readonly lentSlots: () => ReadonlyMap<string, number>;
  /** Epoch milliseconds at which this zone's group formed. */
  readonly memoryStart: () => number;
  /** Sends an announcement to the daemons of the zone named in it. */
  readonly announce: (announcement: WorkerAnnouncement) => void;
}

/**
 * Offers the spare slots of a zone to the other zones, in the form of worker
 * announcements. An offer reserves nothing: a start that finds no spare slot is
 * refused as `not_run`.
 */
export class SpareCapacityAnnouncer {
  private sequence = 0;
  private nextOfferAt = 0;
  private nextRenewalAt = 0;
  private offeredSlots = 0;

  constructor(private readonly opts: SpareCapacityAnnouncerOptions) {}

  /** Announces the spare slots; called only on the zone's leader. */
  tick(epoch: number, now: number): void {
    if (now < this.nextOfferAt || !this.isGroupOldEnough(now)) return;
    this.nextOfferAt = now + OFFER_INTERVAL_MS;
    const spare = this.opts.spare.find(epoch, now);
    if (spare.slots === this.offeredSlots && now < this.nextRenewalAt) return;
    this.offeredSlots = spare.slots;
    this.nextRenewalAt = now + RENEW_INTERVAL_MS;
    // The clock keeps the sequence of a new leader above its predecessor's.
    this.sequence = Math.max(this.sequence + 1, Math.floor(now));
    const running = this.opts.lentSlots();
    for (const zone of this.opts.zones) {
      this.announceTo(zone, spare, running.get(zone) ?? 0);
    }
  }

  /**
   * Because of clock skew, a newly formed group cannot tell new keys from keys
   * of lost jobs, so a task on a lent slot would end with an unknown outcome.
   * The clock of the borrowing zone may be behind as well.
   */
  private isGroupOldEnough(now: number): boolean {
    return now >= this.opts.memoryStart() + MIN_GROUP_AGE_MS;
  }

  private announceTo(
    zone: string,
    {slots, memoryMb, classes}: ReturnType<SpareCapacity['find']>,
    lent: number,
  ): void {
    const total = Math.max(1, slots + lent);
    this.opts.announce({
      worker: ZoneWorker.idOf(this.opts.zone),
      incarnation: `${Math.floor(this.opts.memoryStart())}`,
      sequence: this.sequence,
      zone,
      rack: this.opts.zone,
      address: ZoneWorker.addressOf(this.opts.zone),
      slots: total,
      // One connection is reserved for control messages, as on real workers.
      connections: total + 1,
      processors: 0,
      memory_mb: memoryMb,
      accelerators: 0,
      classes: [...classes],
      leaving: slots === 0,
      epoch: 0,
    });
  }
}
