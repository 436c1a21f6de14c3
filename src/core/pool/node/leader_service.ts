import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {EvacuatedZones} from '../../routing/evacuated_zones.js';
import {isServiceKnown} from '../../routing/is_service_known.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import {RoomOffers} from '../lending/room_offers.js';
import type {LeaseSettings} from '../lease/lease_settings.js';
import type {WorkerClient} from '../lease/worker_client.js';
import type {PoolObserver} from '../pool_observer.js';
import {WorkerRegistry} from '../registry/worker_registry.js';
import {WorkerRegistrySender} from '../registry/worker_registry_sender.js';
import {WorkerReportService} from '../registry/worker_report_service.js';
import {WorkerRelay} from '../relay/worker_relay.js';
import {ResumeGuard} from '../zones/resume_guard.js';
import type {ZoneGrant} from '../zones/zone_grant.js';
import {GrantedZone} from '../zones/granted_zone.js';
import {ZoneLeader} from '../zones/zone_leader.js';
import {CoreDispatching} from './core_dispatching.js';
import {CorePresence} from './core_presence.js';
import type {DispatcherClaim} from './dispatcher_claim.js';
import type {Leadership} from './leadership.js';
import type {NodeDirectory} from './node_directory.js';
import {PoolMessage} from './pool_message.js';

/** A leader that no majority has confirmed for this long sends no orders. */
const CONFIRMATION_MAX_AGE_MS = 250;
/**
 * Time after the last contact with a leader within which no fallback can have
 * started. After it, leases of a fallback may be active, about which the voters
 * of the log know nothing.
 */
const FALLBACK_EARLIEST_MS = 1_500;

interface LeaderServiceOptions extends LeaseSettings {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly directory: NodeDirectory;
  /** Slowdown of a task outside the rack of its data; default 2. */
  readonly remoteFactor?: number | undefined;
  /** Address to which workers send their reports. */
  readonly reportAddress: string;
  /** Leadership of the replicated log; undefined if another node leads. */
  readonly leadership: (now: number) => Leadership | undefined;
  readonly routing: () => RoutingTable | undefined;
  /** Default: no zone is ever evacuated. */
  readonly evacuated?: EvacuatedZones | undefined;
  readonly observer: PoolObserver;
}

/**
 * Pool of a core node. While the node leads the log, it grants zones and
 * dispatches for the others; as the holder of a zone, it dispatches for that. The
 * other core nodes keep a copy of the worker registry for a later takeover.
 */
export class LeaderService {
  /** Reports of workers, which any core node takes. */
  readonly reports: WorkerReportService;
  private readonly registry = new WorkerRegistry(service =>
    isServiceKnown(this.opts.routing(), service),
  );
  private readonly offers = new RoomOffers();
  private readonly registrySender: WorkerRegistrySender;
  private readonly dispatching: CoreDispatching;
  private readonly presence: CorePresence;
  private readonly guard = new ResumeGuard();
  private readonly granted: GrantedZone;
  private leader: ZoneLeader | undefined;
  private isDraining = false;

  constructor(private readonly opts: LeaderServiceOptions) {
    const {clock} = opts;
    const {registry, offers} = this;
    const startedAt = clock.now();
    new WorkerRelay(opts);
    const sendClaim = (id: string) =>
      this.presence.sendClaimTo(id, clock.now());
    const dispatching = {...opts, registry, offers, sendClaim};
    this.dispatching = new CoreDispatching(dispatching);
    this.granted = new GrantedZone({...opts, startedAt});
    this.registrySender = new WorkerRegistrySender({...opts, registry});
    this.presence = new CorePresence({
      ...opts,
      startedAt,
      claim: now => this.claim(now),
      offers,
      room: now =>
        this.dispatching.heldZone === undefined
          ? undefined
          : this.dispatching.room(now),
      owners: () => this.dispatching.owners,
      isRelaying: () => !this.isDraining,
      onClaim: now => this.updateHolder(now),
    });
    opts.peers.onMessage('pool.book', (_from, body, now) =>
      this.onRegistryUpdate(body, now),
    );
    this.reports = new WorkerReportService({
      ...opts,
      registry,
      registrySender: this.registrySender,
      isLeading: () => this.isLeading,
      holds: zone => this.dispatching.heldZone === zone,
      onNews: now => this.dispatching.tick(now),
    });
    this.guard.tick(startedAt);
  }

  /** Whether this node leads, and dispatches the zones that it has not granted. */
  get isLeading(): boolean {
    return this.leader !== undefined && this.dispatching.isOpen;
  }

  get openJobs(): number {
    return this.dispatching.openJobs;
  }

  /** Number of zones that this node has granted as the leader. */
  get grantedZones(): number {
    return this.leader?.grants.length ?? 0;
  }

  /** Fencing token of the zone that this node holds; 0 if it holds none. */
  get zoneToken(): number {
    const {heldZone, token} = this.dispatching;
    return heldZone === undefined ? 0 : token;
  }

  tick(now: number): void {
    this.guard.tick(now);
    this.opts.evacuated?.tick(now);
    this.registry.expire(now);
    this.updateLeadership(now);
    this.updateHolder(now);
    this.dispatching.raiseToken();
    this.dispatching.tick(now);
    // A node must have the list of workers when it gets a zone.
    if (this.isLeading) this.registrySender.tick(now);
    this.presence.tick(now);
    this.reports.tick(now);
  }

  /**
   * Announces a planned stop: a held zone is given up without stopping any run,
   * so that the leader grants it to another node. A leader dispatches until its
   * leadership has been transferred.
   */
  announceDrain(): void {
    const now = this.opts.clock.now();
    this.isDraining = true;
    this.dispatching.releaseCopies();
    this.updateHolder(now);
    this.presence.makeDue(now);
    this.presence.tick(now);
  }

  /** Stops dispatching and relaying before a planned shutdown. */
  close(): void {
    const now = this.opts.clock.now();
    this.isDraining = true;
    this.dispatching.close();
    this.presence.makeDue(now);
    this.presence.send(now);
  }

  private claim(now: number): DispatcherClaim | undefined {
    const claim = this.dispatching.claim(now);
    const {leader} = this;
    if (!claim || claim.zone !== undefined || !leader) return claim;
    const {grants, unserved} = leader;
    return {
      ...claim,
      ...(grants.length > 0 ? {grants} : {}),
      ...(unserved.length > 0 ? {unserved} : {}),
      ...(this.isConfirmed(claim.term, now) ? {} : {isUnconfirmed: true}),
    };
  }

  /** Whether a majority has confirmed the leadership of a term recently. */
  private isConfirmed(term: number, now: number): boolean {
    const current = this.opts.leadership(now);
    return (
      current?.term === term &&
      now - current.confirmedAt < CONFIRMATION_MAX_AGE_MS
    );
  }

  private updateLeadership(now: number): void {
    const {leadership, observer, routing} = this.opts;
    const state = leadership(now);
    if (this.leader && !(state?.isSettled && state.term === this.leader.term)) {
      observer.recordStateChange('lead_lost', {term: this.leader.term});
      this.leader = undefined;
      if (this.dispatching.heldZone === undefined) this.dispatching.close();
      this.presence.makeDue(now);
    }
    if (!state?.isSettled) return;
    if (!this.leader) {
      const {directory, node} = this.opts;
      const others = directory.coreIds(now).filter(id => id !== node);
      if (!this.guard.hasListened(directory, others, now)) return;
      observer.recordStateChange('lead_won', {
        term: state.term,
        workers: this.registry.entries.size,
        confirmed_ms_ago: Math.round(now - state.confirmedAt),
        silent_ms: Math.round(state.silentMs),
        revision: routing()?.content.revision,
      });
      this.leader = new ZoneLeader({
        ...this.opts,
        registry: this.registry,
        term: state.term,
        currentToken: () => this.dispatching.token,
      });
      this.registrySender.makeDue();
    }
    this.lead(this.leader, state, now);
  }

  private lead(leader: ZoneLeader, state: Leadership, now: number): void {
    // After a suspension, all holders seem silent until their messages are read.
    if (!this.guard.isAwake(now)) return;
    if (leader.update(state.confirmedAt, now)) {
      this.registrySender.makeDue();
      this.presence.makeDue(now);
    }
    const {term, excluded} = leader;
    if (!leader.isReady || this.dispatching.isLeading(term, excluded)) return;
    const {observer, leaseMs} = this.opts;
    const isFirst = !this.dispatching.isLeadingTerm(term);
    // Holders go on without a leader, so its silence does not bound their leases.
    const mayDeduct = isFirst && !this.opts.directory.claims.hasHolders;
    const quietMs = state.silentMs < FALLBACK_EARLIEST_MS ? state.silentMs : 0;
    const token = leader.nextToken();
    this.recordClosed('leads');
    this.dispatching.open({
      term,
      zone: undefined,
      excluded,
      token,
      earlierToken: undefined,
      // An earlier leader may have granted its last lease when its confirmation
      // became too old.
      earlierLeasesMs:
        CONFIRMATION_MAX_AGE_MS + leaseMs - (mayDeduct ? quietMs : 0),
      maySendOrders: at => this.isConfirmed(term, at),
      isConfigCurrent: at => this.isConfirmed(term, at),
    });
    this.presence.makeDue(now);
    if (isFirst && excluded.size === 0) return;
    observer.recordStateChange('lead_zones_changed', {
      term,
      token,
      excluded: [...excluded],
    });
  }

  /** Opens or closes the dispatcher of a zone that was granted to this node. */
  private updateHolder(now: number): void {
    const {dispatching, granted, leader} = this;
    if (leader) return;
    const {heldZone} = dispatching;
    if (heldZone !== undefined) {
      const reason = this.isDraining
        ? 'draining'
        : granted.findLoss(dispatching.token, dispatching.isOutranked);
      if (reason === undefined) return;
      this.recordClosed(reason);
      dispatching.close();
      this.presence.makeDue(now);
    }
    const isLeader = this.opts.leadership(now) !== undefined;
    const grant = granted.find(now);
    if (grant && !this.isDraining && !isLeader) this.hold(grant, now);
  }

  private hold(grant: ZoneGrant & {readonly term: number}, now: number): void {
    const {zone, token, term, earlierToken} = grant;
    const {leaseMs, observer} = this.opts;
    this.granted.recordOpened(token);
    observer.recordStateChange('zone_opened', {
      held_zone: zone,
      token,
      term,
      workers: this.registry.entries.size,
    });
    this.dispatching.open({
      term,
      zone,
      excluded: new Set(),
      token,
      earlierToken,
      earlierLeasesMs: leaseMs,
      maySendOrders: at =>
        this.guard.isAwake(at) && this.granted.isHighest(token),
      isConfigCurrent: at => this.isLeaderFollowed(at),
    });
    this.presence.makeDue(now);
    this.presence.tick(now);
  }

  /** Whether a confirmed leader is heard and states no newer configuration. */
  private isLeaderFollowed(now: number): boolean {
    const {claims} = this.opts.directory;
    const leader = claims.leader(now);
    if (!leader || leader.isUnconfirmed) return false;
    return (this.opts.routing()?.content.revision ?? -1) >= claims.revision;
  }

  private recordClosed(reason: string): void {
    const {heldZone, token, openJobs} = this.dispatching;
    if (heldZone === undefined) return;
    this.opts.observer.recordStateChange('zone_closed', {
      held_zone: heldZone,
      token,
      reason,
      open: openJobs,
    });
  }

  private onRegistryUpdate(body: unknown, now: number): void {
    if (!v.is(PoolMessage.book, body)) return;
    for (const report of body.reports) this.registry.update(report, now);
    // A drain must be obeyed without delay.
    if (!body.isWhole) this.dispatching.tick(now);
  }
}
