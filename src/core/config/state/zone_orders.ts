import * as v from 'valibot';
import type {EvacuationOrder} from './evacuation_order.js';

/**
 * Remembered orders per zone. A copy of an order arrives within seconds, during
 * which operators give a few orders for a zone at most.
 */
const MAX_KEYS = 32;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

const Snapshot = v.object({
  last: count,
  zones: v.record(
    v.string(),
    v.object({
      isEvacuated: v.boolean(),
      /** Number of the last order for the zone. */
      number: count,
      /** Keys of recent orders for the zone, oldest first. */
      keys: v.array(v.string()),
    }),
  ),
});

type ZoneOrder = v.InferOutput<typeof Snapshot>['zones'][string];

/** What an order did. */
interface Applied {
  /** Whether the order is in force, or was before a later order. */
  readonly isAccepted: boolean;
  readonly isChange: boolean;
}

/** Evacuated zones of the state machine, with the latest order for each zone. */
export class ZoneOrders {
  static readonly Snapshot = Snapshot;

  private readonly zones: Map<string, ZoneOrder>;
  private lastNumber: number;

  constructor(snapshot?: v.InferOutput<typeof Snapshot>) {
    this.zones = new Map(Object.entries(snapshot?.zones ?? {}));
    this.lastNumber = snapshot?.last ?? 0;
  }

  /** Number of the last order; orders that change nothing are numbered too. */
  get last(): number {
    return this.lastNumber;
  }

  get evacuated(): readonly string[] {
    return [...this.zones]
      .filter(([, order]) => order.isEvacuated)
      .map(([zone]) => zone)
      .sort();
  }

  toSnapshot(): v.InferOutput<typeof Snapshot> {
    return {last: this.lastNumber, zones: Object.fromEntries(this.zones)};
  }

  /** Applies an order unless a later one for the zone has been applied. */
  apply({zone, isEvacuated, key, after}: EvacuationOrder): Applied {
    const known = this.zones.get(zone);
    if (known?.keys.includes(key)) return {isAccepted: true, isChange: false};
    if (known && known.number > after) {
      return {isAccepted: false, isChange: false};
    }
    this.lastNumber += 1;
    this.zones.set(zone, {
      isEvacuated,
      number: this.lastNumber,
      keys: [...(known?.keys ?? []), key].slice(-MAX_KEYS),
    });
    const isChange = isEvacuated !== (known?.isEvacuated ?? false);
    return {isAccepted: true, isChange};
  }
}
