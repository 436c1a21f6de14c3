import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {FallbackService} from './fallback_service.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {PoolMessage} from '../node/pool_message.js';
import type {ZonePeers} from './zone_peers.js';

const PRESENCE_MS = 1_000;
/** Interval of messages to core nodes that do not lead. */
const FOLLOWER_PRESENCE_MS = 2_500;
/** Interval of messages to core nodes while there is no leader. */
const DISCOVERY_MS = 150;
/** Interval of messages to the zone's entry nodes while there is no leader. */
const ZONE_PRESENCE_MS = 200;

interface EntryPresenceOptions {
  readonly node: string;
  readonly zone: string;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly zonePeers: ZonePeers;
  readonly fallback: FallbackService;
  /** Called when a claim to dispatch has been received. */
  readonly onDispatcher: (now: number) => void;
}

/** Sends and receives presence messages on an entry node. */
export class EntryPresence {
  private nextCores = 0;
  private nextFollowers = 0;
  private nextZone = 0;
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
  }

  /** Makes messages to all core nodes due. */
  makeDue(): void {
    this.nextCores = this.nextFollowers = 0;
  }

  /** Announces a shutdown, so that the leader stops relaying through this node. */
  announceDrain(): void {
    this.isDraining = true;
    this.makeDue();
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
    const {directory, fallback, node, peers, zone} = this.opts;
    const claim = fallback.claim(now);
    if (claim) directory.claims.record(claim);
    const body = {
      role: 'entry',
      zone,
      cores: directory.seenIds('core', now),
      entries: this.zonePeerIds(now),
      highestToken: directory.claims.highestToken,
      zoneToken: directory.claims.tokenOf(zone),
      isZoned: true,
      hasLead: this.hasLeader(now),
      relays: !this.isDraining,
      mayFallBack: fallback.canFallBack,
      ...(claim ? {lead: claim} : {}),
    };
    for (const id of nodes) {
      if (id !== node) peers.send(id, 'pool.presence', body);
    }
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
    },
    now: number,
  ): void {
    if (status.zone !== this.opts.zone) return;
    this.opts.zonePeers.update(from, status, now);
    // Informs a node without a leader that the zone has contact with one.
    if (!status.hasLead && this.hasLeader(now)) this.send([from], now);
  }
}
