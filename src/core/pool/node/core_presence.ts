import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {Room} from '../lending/room.js';
import type {RoomOffers} from '../lending/room_offers.js';
import type {DispatcherClaim} from './dispatcher_claim.js';
import type {NodeDirectory} from './node_directory.js';
import {PoolMessage} from './pool_message.js';

/** Interval of the claim of a node that dispatches. */
const CLAIM_MS = 200;
/** Interval of the leader's claim to entry nodes of zones that it has granted. */
const GRANTED_CLAIM_MS = 1_000;
const PRESENCE_MS = 1_000;
/** Interval of short messages to the leader, which detects losses by them. */
const BEAT_MS = 140;
/**
 * Interval at which a node that does not lead informs entry nodes, and at which
 * the leader names the other nodes to them; below the retention of a node.
 */
const ENTRY_GOSSIP_MS = 2_500;
/** Interval of presence messages while no dispatcher is known. */
const DISCOVERY_MS = 150;

/** Fields of a claim that its receiver adds. */
const RECEIVER_FIELDS = new Set(['node', 'heardAt']);

/** Nodes that a message names. */
interface NodeLists {
  readonly cores?: readonly string[];
  readonly entries?: readonly string[];
}

interface CorePresenceOptions {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  /** Start time of this process. */
  readonly startedAt: number;
  /** Claim of this node; undefined without a dispatcher. */
  readonly claim: (now: number) => DispatcherClaim | undefined;
  /** Offer of this node's dispatcher; undefined unless it holds a zone. */
  readonly room: (now: number) => Room | undefined;
  /** Offers of the other holders, which are recorded here. */
  readonly offers: RoomOffers;
  /** Entry nodes that have jobs here. */
  readonly owners: () => ReadonlySet<string>;
  /** Whether the node relays orders and may hold a zone: it does not drain. */
  readonly isRelaying: () => boolean;
  /** Called when a claim or a token has been received. */
  readonly onClaim: (now: number) => void;
}

/** Sends and receives presence messages on a core node. */
export class CorePresence {
  private nextPresence = 0;
  private nextLists = 0;
  private nextBeat = 0;
  private nextEntryGossip = 0;
  private nextGranted = 0;
  /** Whether the offer in the last claim was not empty. */
  private hasOffered = false;

  constructor(private readonly opts: CorePresenceOptions) {
    opts.peers.onMessage('pool.presence', (from, body, now) =>
      this.onPresence(from, body, now),
    );
  }

  tick(now: number): void {
    if (now >= this.nextPresence) this.send(now);
    else if (this.hasOffered && this.opts.room(now)?.cpu === 0) {
      this.sendToCores({}, now);
    } else if (now >= this.nextBeat) this.sendBeat(now);
  }

  /** Makes messages to all nodes due, after a change of the claim. */
  makeDue(now: number): void {
    this.nextPresence = now;
    this.nextLists = now;
    this.nextEntryGossip = now;
  }

  send(now: number): void {
    const {directory, node} = this.opts;
    const claim = this.opts.claim(now);
    const isLeaderKnown = directory.claims.leader(now) !== undefined;
    const idleMs = isLeaderKnown ? PRESENCE_MS : DISCOVERY_MS;
    this.nextPresence = now + (claim ? CLAIM_MS : idleMs);
    this.nextBeat = now + BEAT_MS;
    if (claim) directory.claims.record(claim);
    else directory.claims.clear(node);
    const isHolder = claim?.zone !== undefined;
    const isListDue = !isHolder || now >= this.nextLists;
    if (isListDue) this.nextLists = now + PRESENCE_MS;
    const cores = directory.seenIds('core', now);
    const entries = directory.seenIds('entry', now);
    this.sendToCores(isListDue ? {cores, entries} : {}, now);
    const isGossipDue = now >= this.nextEntryGossip || !isLeaderKnown;
    if (isGossipDue) {
      this.nextEntryGossip = now + ENTRY_GOSSIP_MS;
      this.gossip(claim, cores, entries, now);
    } else if (claim) this.sendClaim(claim, now);
  }

  /** Sends the present claim to a node that acts on an older one. */
  sendClaimTo(id: string, now: number): void {
    this.sendTo(id, this.opts.claim(now), {});
  }

  /** Sends the claim to the other core nodes, with the offer of a holder. */
  private sendToCores(lists: NodeLists, now: number): void {
    const {directory, node} = this.opts;
    const claim = this.opts.claim(now);
    const room = this.opts.room(now);
    this.hasOffered = room !== undefined && room.cpu > 0;
    const offering = claim && room ? {...claim, room} : claim;
    for (const id of directory.coreIds(now)) {
      if (id !== node) this.sendTo(id, offering, lists);
    }
  }

  /** Shows the leader that this node is alive. */
  private sendBeat(now: number): void {
    const {directory, node} = this.opts;
    this.nextBeat = now + BEAT_MS;
    const leader = directory.claims.leader(now)?.node;
    if (leader === undefined || leader === node) return;
    this.sendTo(leader, this.opts.claim(now), {});
  }

  private gossip(
    claim: DispatcherClaim | undefined,
    cores: readonly string[],
    entries: readonly string[],
    now: number,
  ): void {
    const {directory} = this.opts;
    const byZone = directory.groupByZone(entries);
    for (const id of directory.entryIds(now)) {
      // An entry node needs only the entry nodes of its own zone.
      const zonePeers = byZone.get(directory.zoneOf(id)) ?? [];
      this.sendTo(id, claim, {cores, entries: zonePeers});
    }
  }

  /** Sends the claim to the entry nodes that may submit jobs here. */
  private sendClaim(claim: DispatcherClaim, now: number): void {
    const {directory, owners} = this.opts;
    const ownersOfJobs = owners();
    const isGrantedDue = now >= this.nextGranted;
    if (isGrantedDue) this.nextGranted = now + GRANTED_CLAIM_MS;
    for (const id of directory.entryIds(now)) {
      const isServed = ownersOfJobs.has(id) || this.isServed(claim, id);
      const isDue = claim.zone === undefined && isGrantedDue;
      if (isServed || isDue) this.sendTo(id, claim, {});
    }
  }

  private isServed(claim: DispatcherClaim, entry: string): boolean {
    const zone = this.opts.directory.zoneOf(entry);
    if (claim.zone !== undefined) return claim.zone === zone;
    return !claim.grants?.some(grant => grant.zone === zone);
  }

  private sendTo(
    id: string,
    claim: DispatcherClaim | undefined,
    lists: NodeLists,
  ): void {
    const {clock, directory, peers, zone, isRelaying} = this.opts;
    // An older node would take a holder for the leader.
    const isUnderstood = claim?.zone === undefined || directory.isZoned(id);
    peers.send(id, 'pool.presence', {
      role: 'core',
      zone,
      highestToken: directory.claims.highestToken,
      relays: isRelaying(),
      isZoned: true,
      statedAt: clock.elapsed(),
      startedAt: this.opts.startedAt,
      cores: lists.cores ?? [],
      ...(lists.entries ? {entries: lists.entries} : {}),
      ...(claim && isUnderstood ? {lead: toMessage(claim)} : {}),
    });
  }

  private onPresence(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(PoolMessage.presence, body);
    if (!parsed.success) return;
    const {directory, onClaim} = this.opts;
    const {claims} = directory;
    const {role, zone, cores, entries, lead: claim} = parsed.output;
    const {highestToken, zoneToken, relays, isZoned} = parsed.output;
    const isNew = directory.recordSeen(from, role, now, zone);
    directory.recordGossip(cores, 'core', now);
    directory.recordGossip(entries, 'entry', now);
    claims.recordToken(highestToken);
    directory.setRelay(from, relays);
    directory.setZoned(from, isZoned);
    directory.setStartedAt(from, parsed.output.startedAt, now);
    directory.recordClock(from, parsed.output.statedAt, now);
    // Informs a new node, and the others of it, without delay.
    if (isNew) this.makeDue(now);
    if (role === 'entry') {
      // An older entry node does not tell which zone a token belongs to.
      if (zone !== undefined) {
        claims.recordZoneToken(zone, zoneToken ?? highestToken);
      }
    } else if (claim) claims.record({...claim, node: from, heardAt: now});
    else claims.clear(from);
    if (role === 'core') this.recordOffer(from, claim, now);
    onClaim(now);
  }

  /** Records the offer in a claim; beats and claims of others have none. */
  private recordOffer(
    node: string,
    claim: Omit<DispatcherClaim, 'node' | 'heardAt'> | undefined,
    now: number,
  ): void {
    const {offers} = this.opts;
    if (claim?.zone === undefined) return offers.remove(node);
    const {zone, token, statedAt, room} = claim;
    if (!room) return;
    // Delays are not measured; all zones count as equally far.
    const offer = {node, zone, token, room, statedAt};
    offers.record({...offer, pathMs: 0, heardAt: now});
  }
}

/** Omits what the receiver adds. */
function toMessage(claim: DispatcherClaim) {
  return Object.fromEntries(
    Object.entries(claim).filter(([key]) => !RECEIVER_FIELDS.has(key)),
  );
}
