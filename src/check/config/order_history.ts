import type {Config} from '../../core/config/config.js';

/** One evacuation order and its answer. */
interface OrderRecord {
  readonly node: string;
  readonly zone: string;
  readonly isEvacuated: boolean;
  readonly sentAt: number;
  /**
   * Time of the answer, of the crash of the node that had the order, or when its
   * caller left.
   */
  endedAt?: number;
  /** Version named in the acknowledgement. */
  version?: number;
  /** Whether the answer said that the order was not made. */
  isNotMade: boolean;
}

/** A configuration that was read or came into force. */
interface Observation {
  readonly where: string;
  readonly config: Config;
  readonly at: number;
  /** Time from which on acknowledged orders must be visible. */
  readonly sentAt: number;
}

/**
 * Records evacuation orders and the configurations that show their effect.
 * Checks that no acknowledged order is lost or undone by an older one, and that
 * no refused order is applied.
 */
export class OrderHistory {
  private readonly orders: OrderRecord[] = [];
  private readonly observations: Observation[] = [];

  /** Number of acknowledged orders. */
  get acknowledged(): number {
    return this.orders.filter(o => o.version !== undefined).length;
  }

  recordSend(
    node: string,
    zone: string,
    isEvacuated: boolean,
    sentAt: number,
  ): OrderRecord {
    const order = {node, zone, isEvacuated, sentAt, isNotMade: false};
    this.orders.push(order);
    return order;
  }

  recordAcknowledged(order: OrderRecord, version: number, at: number): void {
    // The caller of an order that has ended before does not see the answer.
    if (order.endedAt !== undefined) return;
    order.version = version;
    order.endedAt = at;
  }

  recordUnavailable(order: OrderRecord, isUnknown: boolean, at: number): void {
    order.isNotMade = !isUnknown;
    order.endedAt ??= at;
  }

  /** Records that the caller of an order no longer waits for its answer. */
  recordLeft(order: OrderRecord, at: number): void {
    order.endedAt ??= at;
  }

  /** Records that the requests at a node have ended without an answer. */
  recordCrash(node: string, at: number): void {
    for (const order of this.orders) {
      if (order.node === node) order.endedAt ??= at;
    }
  }

  /**
   * Records a configuration. `sentAt` is the time of the request of a
   * linearizable read; for a configuration in force, only its version tells
   * which orders it must contain.
   */
  recordConfig(
    where: string,
    config: Config,
    at: number,
    sentAt = Number.NEGATIVE_INFINITY,
  ): void {
    this.observations.push({where, config, at, sentAt});
  }

  /** Whether an order that was sent by `at` may have made a version. */
  mayHaveApplied(at: number): boolean {
    return this.orders.some(o => !o.isNotMade && o.sentAt <= at);
  }

  /**
   * Returns the violations. `versions` is the number of versions that no change
   * of a class has made: each of them is due to one order for one zone.
   */
  findViolations(final: Config, versions: number): string[] {
    const found = this.observations.flatMap(each =>
      this.checkObservation(each),
    );
    const possible = this.orders.filter(o => !o.isNotMade).length;
    if (versions > possible) {
      found.push(`${versions} versions without a change, ${possible} orders`);
    }
    const evacuated = final.evacuated?.length ?? 0;
    if (versions % 2 !== evacuated % 2) {
      found.push(`${versions} evacuations and returns left ${evacuated} zones`);
    }
    return found;
  }

  private checkObservation(observation: Observation): string[] {
    const {where, config, at, sentAt} = observation;
    const found: string[] = [];
    const shown = new Set(config.evacuated ?? []);
    for (const zone of shown) {
      const hasOrder = this.orders.some(
        o => o.zone === zone && o.isEvacuated && !o.isNotMade && o.sentAt <= at,
      );
      if (!hasOrder) found.push(`${where}: ${zone} evacuated without an order`);
    }
    for (const order of this.orders) {
      const {zone, isEvacuated, version} = order;
      if (version === undefined || shown.has(zone) === isEvacuated) continue;
      const isIncluded = config.version >= version || sentAt >= order.endedAt!;
      if (!isIncluded || this.isOverruled(order, at)) continue;
      found.push(
        `${where} at version ${config.version}: lacks the order of ` +
          `${order.sentAt} for ${zone}, acknowledged with version ${version}`,
      );
    }
    return found;
  }

  /** Whether an opposite order that is not older may have been applied. */
  private isOverruled(order: OrderRecord, at: number): boolean {
    return this.orders.some(
      other =>
        other.zone === order.zone &&
        other.isEvacuated !== order.isEvacuated &&
        !other.isNotMade &&
        other.sentAt <= at &&
        (other.endedAt ?? Number.POSITIVE_INFINITY) >= order.sentAt,
    );
  }
}
