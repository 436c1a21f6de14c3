import {RecordTiming} from './record_timing.js';

interface Confirmation {
  readonly number: number;
  readonly at: number;
}

/** Which messages about started jobs the other core nodes have recorded. */
export class RecordConfirmations {
  /** When each message was sent, in the order of their numbers. */
  private readonly sentAt = new Map<number, number>();
  private lastSentAt = Number.NEGATIVE_INFINITY;
  private readonly byNode = new Map<string, Confirmation>();

  /** Records that a message with all ends listed until now is being sent. */
  sent(number: number, now: number): void {
    this.sentAt.set(number, now);
    this.lastSentAt = now;
    for (const [old, at] of this.sentAt) {
      if (now - at <= RecordTiming.CONFIRMATION_MS) break;
      this.sentAt.delete(old);
    }
  }

  confirm(node: string, number: number, now: number): void {
    const known = this.byNode.get(node)?.number ?? 0;
    this.byNode.set(node, {number: Math.max(known, number), at: now});
  }

  clear(): void {
    this.sentAt.clear();
    this.byNode.clear();
    this.lastSentAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * Whether ends listed from now on are held for the confirmation of this node
   * for at least HOLD_MS.
   */
  isAwaited(node: string, now: number): boolean {
    const last = this.byNode.get(node);
    const {CONFIRMATION_MS, HOLD_MS} = RecordTiming;
    return last !== undefined && now - last.at <= CONFIRMATION_MS - HOLD_MS;
  }

  /**
   * Time up to which listed ends are recorded at all of these nodes, but for
   * those that have confirmed nothing for some time.
   */
  recordedUntil(nodes: readonly string[], now: number): number {
    let until = this.lastSentAt;
    for (const node of nodes) {
      const last = this.byNode.get(node);
      if (!last || now - last.at > RecordTiming.CONFIRMATION_MS) continue;
      until = Math.min(until, this.sentAt.get(last.number) ?? -Infinity);
    }
    return until;
  }
}
