import type {Room} from './room.js';

/** Age from which an offer counts as zero; three intervals of the claims. */
const MAX_AGE_MS = 600;
/**
 * Time that a moved job needs to reach the lender. An offer that arrives within
 * this time does not take the job into account.
 */
const IN_FLIGHT_MS = 30;

/** An offer of another dispatcher, as received in its claim. */
interface RoomOffer {
  readonly node: string;
  /** Zone that the dispatcher serves. */
  readonly zone: string;
  /** Fencing token of the dispatcher. */
  readonly token: number;
  readonly room: Room;
  /** One-way delay to the zone of the dispatcher, in ms; 0 if not known. */
  readonly pathMs: number;
  /** When the dispatcher stated its claim, on its clock. */
  readonly statedAt?: number | undefined;
  readonly heardAt: number;
}

/** What is left of an offer. */
interface OpenOffer {
  readonly node: string;
  readonly zone: string;
  readonly token: number;
  readonly cpu: number;
  readonly largestTask: number;
  readonly pathMs: number;
  readonly statedAt?: number | undefined;
}

interface Taking {
  readonly cpu: number;
  readonly at: number;
  /** When the job that uses it is expected to have ended. */
  readonly until: number;
}

interface Entry {
  readonly offer: RoomOffer;
  /** What was taken and is not contained in the offer. */
  takings: Taking[];
}

/** Latest offers of the other dispatchers, and what has been taken of them. */
export class RoomOffers {
  private readonly byNode = new Map<string, Entry>();

  /** Records an offer; it replaces earlier ones of the dispatcher. */
  record(offer: RoomOffer): void {
    const known = this.byNode.get(offer.node);
    if (known && known.offer.token > offer.token) return;
    // A claim with a higher token shows that an earlier holder was replaced.
    for (const [node, {offer: other}] of this.byNode) {
      if (other.zone !== offer.zone || node === offer.node) continue;
      if (other.token > offer.token) return;
      this.byNode.delete(node);
    }
    const since = offer.heardAt - IN_FLIGHT_MS;
    const takings = known?.takings.filter(({at}) => at > since) ?? [];
    this.byNode.set(offer.node, {offer, takings});
  }

  /** Withdraws the offer of a node that no longer dispatches. */
  remove(node: string): void {
    this.byNode.delete(node);
  }

  /** Dispatchers whose offers are in force, and how many of these are empty. */
  count(now: number): {readonly live: number; readonly empty: number} {
    let live = 0;
    let empty = 0;
    for (const {offer} of this.byNode.values()) {
      if (!isLive(offer, now)) continue;
      live += 1;
      if (offer.room.cpu === 0) empty += 1;
    }
    return {live, empty};
  }

  /** Offers in force of which something is left. */
  open(now: number): OpenOffer[] {
    const open: OpenOffer[] = [];
    for (const {offer, takings} of this.byNode.values()) {
      if (!isLive(offer, now)) continue;
      const {node, zone, token, pathMs, statedAt, room} = offer;
      const {largestTask} = room;
      let {cpu} = room;
      for (const taking of takings) if (taking.until > now) cpu -= taking.cpu;
      if (cpu <= 0) continue;
      open.push({node, zone, token, cpu, largestTask, pathMs, statedAt});
    }
    return open;
  }

  /**
   * Deducts CPU from an offer until the next one arrives or the job that uses it
   * is expected to have ended: short jobs use the same places several times
   * between two offers.
   */
  take(node: string, cpu: number, now: number, until: number): void {
    this.byNode.get(node)?.takings.push({cpu, at: now, until});
  }
}

function isLive({heardAt}: RoomOffer, now: number): boolean {
  return now - heardAt <= MAX_AGE_MS;
}
