import type {ZoneCore} from './zone_core.js';
import type {ZoneGrant} from './zone_grant.js';
import {ZoneState} from './zone_state.js';
import {ZoneTiming} from './zone_timing.js';
import type {ZoneView} from './zone_view.js';

/** A change of the grants, for the log. */
interface GrantChange {
  readonly event: 'zone_granted' | 'zone_kept' | 'zone_returned';
  readonly grant: ZoneGrant;
  readonly reason: string;
}

interface ZoneGrantsOptions {
  /** The leader. */
  readonly node: string;
  /** Returns the next fencing token of the term. */
  readonly nextToken: () => number;
  /** Present token of the leader's own dispatcher; 0 if it has none. */
  readonly currentToken: () => number;
}

/**
 * Decides during one term of a leader which zone is granted to which core node
 * and under which token. Zones that are neither granted nor `unserved` are
 * dispatched by the leader itself.
 */
export class ZoneGrants {
  private readonly zones = new Map<string, ZoneState>();
  private startedAt: number | undefined;

  constructor(private readonly opts: ZoneGrantsOptions) {}

  /** Current grants. */
  get all(): readonly ZoneGrant[] {
    return [...this.zones.values()].flatMap(({held}) => held?.grant ?? []);
  }

  /** Large zones that are not heard, and that no node is known to hold. */
  unserved(now: number): readonly string[] {
    return [...this.zones]
      .filter(([, state]) => !state.held && !state.isServedByLeader(now))
      .map(([zone]) => zone);
  }

  /**
   * Updates the grants; called only while a majority has confirmed the leader
   * recently. Returns the changes.
   */
  update(views: Iterable<ZoneView>, now: number): GrantChange[] {
    const changes: GrantChange[] = [];
    this.startedAt ??= now;
    for (const view of views) {
      const state = this.zones.get(view.zone) ?? new ZoneState();
      this.zones.set(view.zone, state);
      state.updateHearing(view, now);
      state.updateSize(view, now);
      const isOther = view.claim?.node !== this.opts.node;
      const kept = isOther ? state.keep(view, now) : undefined;
      if (kept) {
        changes.push({event: 'zone_kept', grant: kept, reason: 'claimed'});
      }
      const change = this.decide(state, view, now);
      if (change) changes.push(change);
    }
    return changes;
  }

  /** Returns all zones to the leader. */
  withdrawAll(reason: string): GrantChange[] {
    const changes = this.all.map(grant => {
      return {event: 'zone_returned', grant, reason} as const;
    });
    this.zones.clear();
    return changes;
  }

  private decide(
    state: ZoneState,
    view: ZoneView,
    now: number,
  ): GrantChange | undefined {
    if (state.isUnclear(now)) return undefined;
    const before = state.held?.grant;
    const reason = state.isLarge ? state.findLoss(view, now) : 'few_workers';
    if (reason === undefined) return undefined;
    // It may hear nothing, although its messages arrive.
    if (before && reason === 'not_claimed') state.setUnfit(before.node, now);
    const isYoung = now - (this.startedAt ?? now) < ZoneTiming.YOUNG_MS;
    const isEligible = (core: ZoneCore) =>
      !core.isDraining &&
      (isYoung || now - core.knownSince >= ZoneTiming.WARM_UP_MS) &&
      !state.isUnfit(core.id, now);
    const eligible = view.cores.filter(isEligible);
    const core = state.isLarge
      ? chooseCore(view, eligible, before, now)
      : undefined;
    if (core) {
      if (now - state.grantedAt < ZoneTiming.REGRANT_MS) return undefined;
      const token = this.opts.nextToken();
      const {id: node, startedAt} = core;
      const earlierToken = before?.token ?? this.opts.currentToken();
      const grant = {zone: view.zone, node, token, startedAt, earlierToken};
      state.grant(grant, now);
      return {event: 'zone_granted', grant, reason};
    }
    const mayReturn = !state.isLarge || isWithoutCores(view, eligible, now);
    if (!before || !mayReturn) return undefined;
    state.held = undefined;
    return {event: 'zone_returned', grant: before, reason};
  }
}

/** Chooses the next holder of a zone: another node than before if possible. */
function chooseCore(
  {cores}: ZoneView,
  eligible: readonly ZoneCore[],
  before: ZoneGrant | undefined,
  now: number,
): ZoneCore | undefined {
  const liveSince = now - ZoneTiming.HOLDER_TIMEOUT_MS;
  const previous = cores.find(({id}) => id === before?.node);
  const isLost = previous !== undefined && previous.seenAt <= liveSince;
  const evidenceSince = isLost
    ? previous.seenAt + ZoneTiming.EVIDENCE_MS
    : Number.NEGATIVE_INFINITY;
  const live = eligible
    .filter(({seenAt}) => seenAt > liveSince && seenAt >= evidenceSince)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  return live.find(core => core !== previous) ?? live[0];
}

/** Whether no core node of a zone can hold it although the zone is heard. */
function isWithoutCores(
  {cores, heardAt}: ZoneView,
  eligible: readonly ZoneCore[],
  now: number,
): boolean {
  const liveSince = now - ZoneTiming.HOLDER_TIMEOUT_MS;
  const isLive = ({seenAt}: ZoneCore) => seenAt > liveSince;
  if (eligible.some(isLive)) return false;
  // Live nodes that are not eligible have just started, stop or hear nothing.
  const silent = cores.filter(core => !isLive(core));
  const lastSeenAt = Math.max(...silent.map(({seenAt}) => seenAt));
  return heardAt >= lastSeenAt + ZoneTiming.EVIDENCE_MS;
}
