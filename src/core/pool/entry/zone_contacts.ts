import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {PoolObserver} from '../pool_observer.js';
import {isSameDispatcher} from './is_same_dispatcher.js';
import {ZoneContact} from './zone_contact.js';

interface ZoneContactsOptions {
  /** Zone of this node. */
  readonly zone: string;
  readonly directory: NodeDirectory;
  readonly observer: PoolObserver;
  /** Number of jobs whose callers wait here. */
  readonly openJobs: () => number;
}

/** Contact with the dispatchers of the zones to which jobs are assigned. */
export class ZoneContacts {
  private readonly byZone = new Map<string, ZoneContact>();

  constructor(private readonly opts: ZoneContactsOptions) {}

  of(zone: string): ZoneContact {
    const contact = this.byZone.get(zone) ?? new ZoneContact();
    this.byZone.set(zone, contact);
    return contact;
  }

  claimOf(zone: string, now: number): DispatcherClaim | undefined {
    const {directory, zone: own} = this.opts;
    return zone === own
      ? directory.claims.dispatcherOf(zone, now)
      : directory.claims.remoteDispatcherOf(zone, now);
  }

  /** Updates the contact of a zone and records another dispatcher. */
  update(zone: string, now: number): void {
    const {observer, openJobs} = this.opts;
    const contact = this.of(zone);
    const before = contact.claim;
    const silentMs = Math.round(now - contact.seenAt);
    const claim = this.claimOf(zone, now);
    contact.update(claim, now);
    if (isSameDispatcher(claim, before)) return;
    observer.recordStateChange(claim ? 'lead_found' : 'lead_silent', {
      of_zone: zone,
      term: claim?.term ?? before?.term,
      lead: claim?.node,
      token: claim?.token,
      is_fallback: claim?.isFallback,
      is_holder: claim && claim.zone !== undefined,
      // Time without a dispatcher, as far as this node knew.
      silent_ms: Number.isFinite(silentMs) ? silentMs : undefined,
      open: openJobs(),
    });
  }
}
