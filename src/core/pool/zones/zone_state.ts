import type {ZoneGrant} from './zone_grant.js';
import {ZoneTiming} from './zone_timing.js';
import type {ZoneView} from './zone_view.js';

interface HeldZone {
  readonly grant: ZoneGrant;
  readonly grantedAt: number;
  /** Whether the node has claimed the zone under the token of the grant. */
  isClaimed: boolean;
}

/** What the leader remembers of a zone during its term. */
export class ZoneState {
  held: HeldZone | undefined;
  grantedAt = Number.NEGATIVE_INFINITY;
  isLarge = false;
  private isSilent = false;
  /** Until when the holder may be about to state its claim after a silence. */
  private learnsUntil = Number.NEGATIVE_INFINITY;
  private heardAt = Number.NEGATIVE_INFINITY;
  private fewSince: number | undefined;
  /** Until when nodes are not granted the zone because they did not claim it. */
  private readonly unfitUntil = new Map<string, number>();
  /** Highest token granted or kept; older claims are outdated. */
  private highestToken = -1;

  /** Whether nothing can be concluded from what is missing in the zone. */
  isUnclear(now: number): boolean {
    return this.isSilent || now < this.learnsUntil;
  }

  /** Whether the leader dispatches the zone itself. */
  isServedByLeader(now: number): boolean {
    return !this.held && !(this.isLarge && this.isUnclear(now));
  }

  /** Records when a node of the zone was last heard. */
  updateHearing({heardAt, claim}: ZoneView, now: number): void {
    const isNewTerm = this.heardAt === Number.NEGATIVE_INFINITY;
    const gapMs = isNewTerm ? 0 : heardAt - this.heardAt;
    this.heardAt = Math.max(this.heardAt, heardAt);
    // A zone without any core or entry node is not heard, but not cut off either.
    const isKnown = Number.isFinite(this.heardAt) || claim !== undefined;
    const silentMs = this.held
      ? ZoneTiming.SILENT_MS
      : ZoneTiming.SERVED_SILENT_MS;
    const wasSilent = this.isSilent;
    this.isSilent = isKnown && now - this.heardAt >= silentMs;
    const isBack = wasSilent || (this.held && gapMs > ZoneTiming.EVIDENCE_MS);
    if (isBack && !this.isSilent) {
      const {LEARN_MS, LEARN_GAP_MS} = ZoneTiming;
      this.learnsUntil = now + (wasSilent ? LEARN_MS : LEARN_GAP_MS);
    }
  }

  /** Records the number of workers, which is not known of a silent zone. */
  updateSize({workers}: ZoneView, now: number): void {
    const {MIN_WORKERS, MIN_WORKERS_KEPT, SHRUNK_MS} = ZoneTiming;
    if (workers >= MIN_WORKERS) this.isLarge = true;
    if (workers >= MIN_WORKERS_KEPT || this.isUnclear(now)) {
      this.fewSince = undefined;
      return;
    }
    this.fewSince ??= now;
    if (now - this.fewSince >= SHRUNK_MS) this.isLarge = false;
  }

  /** Takes a claim of a node that holds the zone; returns whether it is new. */
  keep({zone, claim}: ZoneView, now: number): ZoneGrant | undefined {
    if (!claim) return undefined;
    const {node, token} = claim;
    const {held} = this;
    if (held && token === held.grant.token) held.isClaimed = true;
    if (token <= this.highestToken) return undefined;
    const grant = {zone, node, token};
    this.held = {grant, grantedAt: now, isClaimed: true};
    this.highestToken = token;
    this.isLarge = true;
    return grant;
  }

  grant(grant: ZoneGrant, now: number): void {
    this.held = {grant, grantedAt: now, isClaimed: false};
    this.grantedAt = now;
    this.highestToken = grant.token;
  }

  /** Whether a node has failed to claim the zone recently. */
  isUnfit(node: string, now: number): boolean {
    return now < (this.unfitUntil.get(node) ?? 0);
  }

  /** Excludes a node that did not claim the zone, for some time. */
  setUnfit(node: string, now: number): void {
    this.unfitUntil.set(node, now + ZoneTiming.UNFIT_MS);
  }

  /** Why the holder has lost the zone; undefined if it has not. */
  findLoss({cores, claim}: ZoneView, now: number): string | undefined {
    if (!this.held) return 'no_holder';
    const {grant, grantedAt, isClaimed} = this.held;
    const core = cores.find(({id}) => id === grant.node);
    const heardAt = Math.max(core?.seenAt ?? grantedAt, grantedAt);
    if (now - heardAt >= ZoneTiming.HOLDER_TIMEOUT_MS) return 'holder_lost';
    if (!core) return undefined;
    if (core.isDraining) return 'holder_drains';
    if (claim?.node === grant.node && claim.token === grant.token) {
      return undefined;
    }
    if (isClaimed) return 'claim_withdrawn';
    const isOverdue = now - grantedAt >= ZoneTiming.CLAIM_TIMEOUT_MS;
    return isOverdue ? 'not_claimed' : undefined;
  }
}
