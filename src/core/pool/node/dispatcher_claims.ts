import {FailoverTiming} from './failover_timing.js';
import type {JobReferral} from '../lending/job_referral.js';
import type {ZoneGrant} from '../zones/zone_grant.js';
import type {DispatcherClaim} from './dispatcher_claim.js';

/**
 * Claims to dispatch that a node has heard: of the leader, of the holders of
 * zones, and of the fallback of this node's zone.
 */
export class DispatcherClaims {
  private leaderClaim: DispatcherClaim | undefined;
  private fallback: DispatcherClaim | undefined;
  private readonly holders = new Map<string, DispatcherClaim>();
  /** Highest token known for a zone; tokens of the leader are not included. */
  private readonly tokensByZone = new Map<string, number>();
  private maxToken = 0;
  private maxRevision = 0;

  /** Records a claim; one with an outdated term or token is ignored. */
  record(claim: DispatcherClaim): void {
    this.recordToken(claim.token);
    if (!claim.isFallback) {
      this.recordRevision(claim.revision);
    }
    if (claim.isFallback) this.recordFallback(claim);
    else if (claim.zone === undefined) this.recordLeader(claim);
    else this.recordHolder(claim, claim.zone);
  }

  /** Withdraws the claims of a node that does not dispatch. */
  clear(node: string): void {
    if (this.fallback?.node === node) this.fallback = undefined;
    this.clearHolder(node);
    this.clearLeader(node);
  }

  recordToken(token: number): void {
    this.maxToken = Math.max(this.maxToken, token);
  }

  /** Records a fencing token that a dispatcher of the zone uses. */
  recordZoneToken(zone: string, token: number): void {
    this.recordToken(token);
    const known = this.tokensByZone.get(zone) ?? 0;
    if (token > known) this.tokensByZone.set(zone, token);
  }

  /** Records a configuration revision that is in force at some node. */
  recordRevision(revision: number): void {
    this.maxRevision = Math.max(this.maxRevision, revision);
  }

  get highestToken(): number {
    return this.maxToken;
  }

  /** Highest fencing token known for a zone. */
  tokenOf(zone: string): number {
    const leader = this.leaderClaim;
    const known = this.tokensByZone.get(zone) ?? 0;
    return leader && isServing(leader, zone)
      ? Math.max(known, leader.token)
      : known;
  }

  /** Claim of the leader of the log, if it was heard recently. */
  leader(now: number): DispatcherClaim | undefined {
    const claim = this.leaderClaim;
    return claim && isLive(claim, now) ? claim : undefined;
  }

  /** Last known leader of the log, even if contact to it is lost. */
  get lastLeader(): DispatcherClaim | undefined {
    return this.leaderClaim;
  }

  /** Last claim of the holder of a zone that was not withdrawn. */
  holderOf(zone: string): DispatcherClaim | undefined {
    const claim = this.holders.get(zone);
    return claim && claim.token >= this.tokenOf(zone) ? claim : undefined;
  }

  /** Whether a leader or a holder was heard recently; a fallback does not count. */
  hasRegularDispatcher(now: number): boolean {
    const claims = [this.leaderClaim, ...this.holders.values()];
    return claims.some(claim => claim && isLive(claim, now));
  }

  /** Whether a holder is known, even if contact to it is lost. */
  get hasHolders(): boolean {
    return this.holders.size > 0;
  }

  /** Highest token known for each zone, as far as nodes have told it by zone. */
  get zoneTokens(): ReadonlyMap<string, number> {
    return this.tokensByZone;
  }

  /** Node of the holder of a zone, if it was heard recently. */
  liveHolderOf(zone: string, now: number): string | undefined {
    const claim = this.holderOf(zone);
    return claim && isLive(claim, now) ? claim.node : undefined;
  }

  /** Nodes that dispatch, as far as this node knows, including fallbacks. */
  dispatchingNodes(now: number): string[] {
    return [...this.dispatcherTokens(now).keys()];
  }

  /** Nodes that dispatch, each with the fencing token of its dispatcher. */
  dispatcherTokens(now: number): Map<string, number> {
    const {fallback, leaderClaim: leader} = this;
    const tokens = new Map<string, number>();
    for (const claim of [...this.holders.values(), fallback, leader]) {
      if (claim && isLive(claim, now)) tokens.set(claim.node, claim.token);
    }
    const {grants = []} = leader ?? {};
    if (!leader || grants.length === 0) return tokens;
    // The leader sends its claim to entry nodes of granted zones less often, and
    // nobody else tells them about the holders of other zones.
    for (const {node, token} of [...grants, leader]) {
      if (!tokens.has(node)) tokens.set(node, token);
    }
    return tokens;
  }

  /**
   * Claim of the dispatcher of a zone: the holder or the leader, whichever has
   * the higher token, else the fallback. The leader comes before a fallback with
   * a higher token, since it raises its own token above that.
   */
  dispatcherOf(zone: string, now: number): DispatcherClaim | undefined {
    const leader = this.leader(now);
    const holder = this.holderOf(zone);
    const served = leader && isServing(leader, zone) ? leader : undefined;
    const held = holder && isLive(holder, now) ? holder : undefined;
    if (served && held) return held.token > served.token ? held : served;
    if (served ?? held) return served ?? held;
    const {fallback} = this;
    const isFallbackOf = (fallback?.zone ?? zone) === zone;
    return fallback && isFallbackOf && isLive(fallback, now)
      ? fallback
      : undefined;
  }

  /**
   * Claim of the dispatcher of a zone whose holder may not send its claim here: the
   * leader's grant stands for it.
   */
  remoteDispatcherOf(zone: string, now: number): DispatcherClaim | undefined {
    const known = this.dispatcherOf(zone, now);
    const leader = this.leaderClaim;
    const grant = leader?.grants?.find(each => each.zone === zone);
    if (known || !leader || !grant) return known;
    const {DISTANT_LEADER_TIMEOUT_MS} = FailoverTiming;
    const isRecent = now - leader.heardAt < DISTANT_LEADER_TIMEOUT_MS;
    const isHighest = grant.token >= this.tokenOf(zone);
    return isRecent && isHighest ? toClaim(grant, leader) : undefined;
  }

  /** Records the dispatcher of another zone that a dispatcher has named. */
  recordReferral({statedAt, ...grant}: JobReferral, now: number): void {
    const leader = this.leaderClaim;
    if (!leader) return;
    const {node, zone, token} = grant;
    if (leader.node === node && !isWithdrawn(leader)) {
      const heardAt = Math.max(leader.heardAt, now);
      // The time of the referral may be of a holder in an earlier process of the node.
      const own = isLive(leader, now) ? leader.statedAt : undefined;
      this.leaderClaim = {...leader, heardAt, statedAt: own};
      return;
    }
    const known = this.holders.get(zone);
    const isSame = known?.node === node && known.token === token;
    const latest = isSame ? latestOf(known.statedAt, statedAt) : statedAt;
    this.record({...toClaim(grant, leader), heardAt: now, statedAt: latest});
  }

  /**
   * Highest configuration revision that a leader or holder has stated, or that was
   * in force at this node. Those of lost dispatchers count as well: their successors
   * must not fall behind them.
   */
  get revision(): number {
    return this.maxRevision;
  }

  /** Highest configuration version that a leader or holder last stated. */
  get version(): number {
    let version = this.leaderClaim?.version ?? 0;
    for (const holder of this.holders.values()) {
      version = Math.max(version, holder.version ?? 0);
    }
    return version;
  }

  private recordFallback(claim: DispatcherClaim): void {
    const known = this.fallback;
    const isKnown = known && isLive(known, claim.heardAt);
    if (isKnown && claim.token < known.token) return;
    // Two nodes of one rank may have the same token. Jobs that went from one to the
    // other with each claim would keep their contact with both.
    const isOther = claim.node !== known?.node;
    if (isKnown && isOther && claim.token === known.token) return;
    this.fallback = claim;
    if (claim.zone !== undefined) this.recordZoneToken(claim.zone, claim.token);
  }

  private recordLeader(claim: DispatcherClaim): void {
    this.clearHolder(claim.node);
    if (this.leaderClaim && claim.term < this.leaderClaim.term) return;
    this.leaderClaim = claim;
    for (const grant of claim.grants ?? []) {
      this.recordZoneToken(grant.zone, grant.token);
    }
  }

  private recordHolder(claim: DispatcherClaim, zone: string): void {
    // A node has at most one dispatcher.
    this.clearLeader(claim.node);
    const known = this.holders.get(zone);
    if (known?.node !== claim.node) this.clearHolder(claim.node);
    if (claim.token < this.tokenOf(zone)) {
      this.clearHolder(claim.node);
      return;
    }
    this.recordZoneToken(zone, claim.token);
    this.holders.set(zone, claim);
  }

  private clearHolder(node: string): void {
    for (const [zone, claim] of this.holders) {
      if (claim.node === node) this.holders.delete(zone);
    }
  }

  private clearLeader(node: string): void {
    if (this.leaderClaim?.node !== node) return;
    this.leaderClaim = {
      ...this.leaderClaim,
      heardAt: Number.NEGATIVE_INFINITY,
    };
  }
}

/** The claim that the node of a grant is expected to send. */
function toClaim(grant: ZoneGrant, leader: DispatcherClaim): DispatcherClaim {
  const {node, zone, token} = grant;
  const {term, heardAt} = leader;
  return {node, zone, token, term, heardAt, isFallback: false, revision: 0};
}

/** The later one of two statements of a claim, if any. */
function latestOf(...statements: Array<number | undefined>) {
  const times = statements.filter(at => at !== undefined);
  return times.length > 0 ? Math.max(...times) : undefined;
}

function isWithdrawn({heardAt}: DispatcherClaim): boolean {
  return heardAt === Number.NEGATIVE_INFINITY;
}

/** Whether a leader dispatches a zone itself. */
function isServing(leader: DispatcherClaim, zone: string): boolean {
  const {grants = [], unserved = []} = leader;
  return !unserved.includes(zone) && !grants.some(g => g.zone === zone);
}

function isLive(claim: DispatcherClaim, now: number): boolean {
  return now - claim.heardAt < FailoverTiming.DISPATCHER_TIMEOUT_MS;
}
