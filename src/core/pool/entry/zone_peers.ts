/** A node without a presence message for this long counts as failed. */
const TIMEOUT_MS = 700;
/** Time for which reported contact with the leader remains valid. */
const LEADER_CONTACT_MS = 1_000;

interface PeerStatus {
  seenAt: number;
  leaderContactAt: number;
  mayFallBack: boolean;
}

/** Status of the zone's other entry nodes: leader contact and fallback. */
export class ZonePeers {
  private readonly statuses = new Map<string, PeerStatus>();

  update(
    node: string,
    status: {readonly hasLead: boolean; readonly mayFallBack: boolean},
    now: number,
  ): void {
    const previous = this.statuses.get(node);
    this.statuses.set(node, {
      seenAt: now,
      leaderContactAt: status.hasLead
        ? now
        : (previous?.leaderContactAt ?? Number.NEGATIVE_INFINITY),
      mayFallBack: status.mayFallBack,
    });
  }

  /** Whether one of the nodes has contact with the leader of the log. */
  haveLeaderContact(now: number): boolean {
    return [...this.statuses.values()].some(
      peer => now - peer.leaderContactAt < LEADER_CONTACT_MS,
    );
  }

  /** Whether no node with a lower id can act as fallback of the zone. */
  hasPriority(node: string, now: number): boolean {
    for (const [id, {seenAt, mayFallBack}] of this.statuses) {
      if (id < node && mayFallBack && now - seenAt < TIMEOUT_MS) return false;
    }
    return true;
  }
}
