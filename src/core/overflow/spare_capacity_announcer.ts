import {SubmissionGate} from '../dispatch/submission_gate.js';
import type {WorkerAnnouncement} from '../worker/worker_announcement.js';
import type {SpareCapacity} from './spare_capacity.js';
import {ZoneWorker} from './zone_worker.js';

/** Offers that are 250 ms old lead to more starts that find no spare slot. */
const OFFER_INTERVAL_MS = 100;
/**
 * An unchanged offer is repeated this often, to renew the borrower's lease of
 * 3 s; one lost message is borne.
 */
const RENEW_INTERVAL_MS = 1_400;

const SETTLING_MS = 2 * SubmissionGate.MAX_CLOCK_SKEW_MS;

interface SpareCapacityAnnouncerOptions {
  readonly zone: string;
  /** The other zones. */
  readonly zones: readonly string[];
  readonly spare: SpareCapacity;
  /** Tasks that run here for each other zone. */
  readonly lentSlots: () => ReadonlyMap<string, number>;
  /** Epoch milliseconds since which this zone's group remembers its jobs. */
  readonly memoryStart: () => number;
  /** Sends an announcement to the daemons of its zone. */
  readonly announce: (announcement: WorkerAnnouncement) => void;
}

/**
 * Offers the spare slots of a zone to the others, as the announcements of one
 * worker. An offer promises nothing: a start that finds no spare slot is
 * refused as not started.
 */
export class SpareCapacityAnnouncer {
  private sequence = 0;
  private nextOffer = 0;
  private nextRenewal = 0;
  private lastSlots = 0;

  constructor(private readonly opts: SpareCapacityAnnouncerOptions) {}

  /** Announces what is spare; called by the zone's dispatcher only. */
  tick(epoch: number, now: number): void {
    if (now < this.nextOffer || !this.isSettled(now)) return;
    this.nextOffer = now + OFFER_INTERVAL_MS;
    const spare = this.opts.spare.find(epoch, now);
    if (spare.slots === this.lastSlots && now < this.nextRenewal) return;
    this.lastSlots = spare.slots;
    this.nextRenewal = now + RENEW_INTERVAL_MS;
    // A successor must not fall behind the sequence of its predecessor.
    this.sequence = Math.max(this.sequence + 1, Math.floor(now));
    const running = this.opts.lentSlots();
    for (const zone of this.opts.zones) {
      this.offer(zone, spare, running.get(zone) ?? 0);
    }
  }

  /**
   * A group that has just formed takes keys made now for forgotten ones, so a
   * lent task would end as unknown. The borrower's clock may be behind as well.
   */
  private isSettled(now: number): boolean {
    return now >= this.opts.memoryStart() + SETTLING_MS;
  }

  private offer(
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
      // As for any worker, one connection is kept for control messages.
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
