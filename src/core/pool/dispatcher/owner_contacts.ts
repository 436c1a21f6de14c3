import {FailoverTiming} from '../node/failover_timing.js';

/**
 * Last contact with the entry nodes that own jobs. An entry node sends back when
 * the last claim that it has received was stated, and that time counts: a message
 * that arrives or is handled late does not prolong the contact. The entry node can
 * thus tell from its own last contact when its jobs have been dropped.
 */
export class OwnerContacts {
  private readonly contactAt = new Map<string, number>();

  /**
   * Records a message from an entry node. `claimStatedAt` is on the clock of this
   * process. A time that is ahead of it is from an earlier process of the node; an
   * older entry node, or one that has heard no claim yet, sends none.
   */
  record(owner: string, claimStatedAt: number | undefined, now: number): void {
    const at =
      claimStatedAt === undefined || claimStatedAt > now ? now : claimStatedAt;
    this.contactAt.set(owner, Math.max(at, this.contactAt.get(owner) ?? at));
  }

  /** Time since the last contact; undefined if there was none. */
  silentMs(owner: string, now: number): number | undefined {
    const at = this.contactAt.get(owner);
    return at === undefined ? undefined : now - at;
  }

  /** Whether the jobs of an entry node are to be dropped. */
  isLost(owner: string, now: number): boolean {
    const silentMs = this.silentMs(owner, now) ?? Number.POSITIVE_INFINITY;
    return silentMs > FailoverTiming.OWNER_TIMEOUT_MS;
  }

  clear(): void {
    this.contactAt.clear();
  }
}
