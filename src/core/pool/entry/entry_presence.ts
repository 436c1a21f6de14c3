import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {FallbackService} from './fallback_service.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {PoolMessage} from '../node/pool_message.js';
import type {ReliefService} from '../pressure/relief_service.js';
import type {ZonePeers} from './zone_peers.js';

const PRESENCE_MS = 1_000;
/** Interval of messages to core nodes that do not lead. */
const FOLLOWER_PRESENCE_MS = 2_500;
/** Interval of messages to core nodes while there is no leader. */
const DISCOVERY_MS = 150;
/** Interval of messages to the zone's entry nodes while there is no leader. */
const ZONE_PRESENCE_MS = 200;
/**
 * Interval of messages to the zone's entry nodes while there is a leader. They
 * tell the pressure, which the others need soon only if it is high.
 */
const PRESSURE_MS = 500;
const LOW_PRESSURE_MS = 2_500;
/** Pressure from which the node's state may soon change. */
const NOTABLE_PRESSURE = 0.5;

interface EntryPresenceOptions {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly zonePeers: ZonePeers;
  readonly fallback: FallbackService;
  readonly relief: ReliefService;
  /** Called when a claim to dispatch has been received. */
  readonly onDispatcher: (now: number) => void;
}

/** Sends and receives presence messages on an entry node. */
export class EntryPresence {
  private nextCores = 0;
  private nextFollowers = 0;
  private nextZone = 0;
  private nextPressure = 0;
  private hadLeader = false;
  private leaderTerm = -1;
  private wasDispatching = false;
  private isDraining = false;

  constructor(private readonly opts: EntryPresenceOptions) {
    opts.peers.onMessage('pool.presence', (from, body, now) =>
      this.onPresence(from, body, now),
    );
  }

  tick(now: number): void {
    const hasLeader = this.hasLeader(now);
    const isDispatching = this.opts.fallback.isDispatching;
    const {term = -1} = this.opts.directory.claims.lastLeader ?? {};
    const isNewLeader = term !== this.leaderTerm;
    this.leaderTerm = term;
    // Reports the tokens used during the outage to a new leader immediately, and
    // shows it that the zone is not cut off.
    if ((hasLeader && !this.hadLeader) || isNewLeader) {
      this.nextCores = this.nextFollowers = now;
    }
    if (isDispatching !== this.wasDispatching) this.nextZone = now;
    const hasStopped = this.wasDispatching && !isDispatching;
    this.hadLeader = hasLeader;
    this.wasDispatching = isDispatching;
    if (now >= this.nextCores) {
      this.nextCores = now + (hasLeader ? PRESENCE_MS : DISCOVERY_MS);
      this.send(this.coreIds(hasLeader, now), now);
    }
    if ((!hasLeader || hasStopped) && now >= this.nextZone) {
      this.nextZone = now + ZONE_PRESENCE_MS;
      this.send(this.zonePeerIds(now), now);
    }
    if (hasLeader && now >= this.nextPressure) this.sendPressure(now);
  }

  /** Makes the next tick inform the zone's entry nodes. */
  makePressureDue(): void {
    this.nextPressure = 0;
  }

  /** Makes messages to all core nodes due. */
  makeDue(): void {
    this.nextCores = this.nextFollowers = 0;
  }

  private sendPressure(now: number): void {
    const {relief, peers} = this.opts;
    const isNotable = relief.isRelieved || relief.pressure >= NOTABLE_PRESSURE;
    this.nextPressure = now + (isNotable ? PRESSURE_MS : LOW_PRESSURE_MS);
    // The leader names the other nodes.
    const body = {...this.createBody(now), cores: [], entries: []};
    for (const id of this.zonePeerIds(now)) {
      peers.send(id, 'pool.presence', body);
    }
  }

  /** Announces a shutdown, so that the leader stops relaying through this node. */
  announceDrain(): void {
    this.isDraining = true;
    this.makeDue();
    this.makePressureDue();
  }

  /**
   * Core nodes to which a message is due: the dispatcher of the zone and the
   * leader, which may be another node, and sometimes all.
   */
  private coreIds(hasLeader: boolean, now: number): string[] {
    const {directory, zone} = this.opts;
    const {claims} = directory;
    if (hasLeader && now < this.nextFollowers) {
      const dispatcher = claims.dispatcherOf(zone, now)?.node ?? [];
      const leader = claims.lastLeader?.node ?? [];
      return [...new Set([dispatcher, leader].flat())];
    }
    this.nextFollowers = now + FOLLOWER_PRESENCE_MS;
    return directory.coreIds(now);
  }

  private hasLeader(now: number): boolean {
    const {directory, zone} = this.opts;
    const claim = directory.claims.dispatcherOf(zone, now);
    return claim !== undefined && !claim.isFallback;
  }

  /** Entry nodes that are in this zone or whose zone is not known. */
  private zonePeerIds(now: number): string[] {
    const {directory, node, zone} = this.opts;
    return directory
      .entryIds(now)
      .filter(id => id !== node && (directory.zoneOf(id) ?? zone) === zone);
  }

  private send(nodes: readonly string[], now: number): void {
    const {node, peers} = this.opts;
    const body = this.createBody(now);
    for (const id of nodes) {
      if (id !== node) peers.send(id, 'pool.presence', body);
    }
  }

  private createBody(now: number) {
    const {clock, directory, fallback, relief, zone} = this.opts;
    const claim = fallback.claim(now);
    if (claim) directory.claims.record(claim);
    return {
      role: 'entry',
      zone,
      cores: directory.seenIds('core', now),
      entries: this.zonePeerIds(now),
      highestToken: directory.claims.highestToken,
      zoneToken: directory.claims.tokenOf(zone),
      isZoned: true,
      statedAt: clock.elapsed(),
      hasLead: this.hasLeader(now),
      relays: !this.isDraining,
      mayFallBack: fallback.canFallBack,
      pressure: relief.pressure,
      isRelieved: relief.isRelieved,
      ...(claim ? {lead: claim} : {}),
    };
  }

  private onPresence(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(PoolMessage.presence, body);
    if (!parsed.success) return;
    const {directory} = this.opts;
    const {role, zone, cores, entries, highestToken} = parsed.output;
    directory.recordSeen(from, role, now, zone);
    directory.recordGossip(cores, 'core', now);
    directory.recordGossip(entries, 'entry', now);
    directory.claims.recordToken(highestToken);
    directory.setZoned(from, parsed.output.isZoned);
    const {lead: claim} = parsed.output;
    if (claim) directory.claims.record({...claim, node: from, heardAt: now});
    else directory.claims.clear(from);
    if (role === 'entry') this.onZonePeer(from, parsed.output, now);
    if (claim) this.opts.onDispatcher(now);
  }

  private onZonePeer(
    from: string,
    status: {
      readonly zone?: string | undefined;
      readonly hasLead: boolean;
      readonly mayFallBack: boolean;
      readonly relays: boolean;
      readonly pressure?: number | undefined;
      readonly isRelieved: boolean;
    },
    now: number,
  ): void {
    if (status.zone !== this.opts.zone) return;
    this.opts.zonePeers.update(from, status, now);
    const {relief} = this.opts;
    const {relays, pressure, isRelieved} = status;
    // A node that shuts down passes on no orders and takes no connections.
    if (!relays) relief.removePeer(from);
    else if (pressure !== undefined) {
      relief.recordPeer({node: from, pressure, isRelieved}, now);
    }
    // Informs a node without a leader that the zone has contact with one.
    if (!status.hasLead && this.hasLeader(now)) this.send([from], now);
  }
}
