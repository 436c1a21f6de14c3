import * as v from 'valibot';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {FallbackService} from './fallback_service.js';
import type {NodeDirectory} from './node_directory.js';
import {PoolMessage} from './pool_message.js';
import type {ZonePeers} from './zone_peers.js';

const PRESENCE_MS = 1_000;
/** Interval of a node that has found no lead, towards core nodes. */
const SEEKING_MS = 150;
/** Interval towards the zone's entry nodes while no lead is heard. */
const MATES_MS = 200;

interface EntryPresenceOptions {
  readonly node: string;
  readonly zone: string;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly zonePeers: ZonePeers;
  readonly fallback: FallbackService;
  /** Called when a node that dispatches was heard. */
  readonly onDispatcher: (now: number) => void;
}

/** Tells other nodes that this entry node is there, and hears the same. */
export class EntryPresence {
  private nextCores = 0;
  private nextMates = 0;
  private hadLead = false;
  private hadClaim = false;
  private isDraining = false;

  constructor(private readonly opts: EntryPresenceOptions) {
    opts.peers.onMessage('pool.presence', (from, body, now) =>
      this.onPresence(from, body, now),
    );
  }

  tick(now: number): void {
    const hasLead = this.hasLead(now);
    const hasClaim = this.opts.fallback.isDispatching;
    // A lead that is found learns at once of tokens that were used meanwhile.
    if (hasLead && !this.hadLead) this.nextCores = now;
    if (hasClaim !== this.hadClaim) this.nextMates = now;
    const wasServing = this.hadClaim && !hasClaim;
    this.hadLead = hasLead;
    this.hadClaim = hasClaim;
    if (now >= this.nextCores) {
      this.nextCores = now + (hasLead ? PRESENCE_MS : SEEKING_MS);
      const {directory} = this.opts;
      this.send(directory.coreIds(now), now);
    }
    if ((!hasLead || wasServing) && now >= this.nextMates) {
      this.nextMates = now + MATES_MS;
      this.send(this.mateIds(now), now);
    }
  }

  /** This node ends soon: the lead must find other ways to the workers. */
  announceDrain(): void {
    this.isDraining = true;
    this.nextCores = 0;
  }

  private hasLead(now: number): boolean {
    const lead = this.opts.directory.lead(now);
    return lead !== undefined && !lead.isFallback;
  }

  /** Entry nodes of this zone; those of unknown zones may be in it. */
  private mateIds(now: number): string[] {
    const {directory, node, zone} = this.opts;
    return directory
      .entryIds(now)
      .filter(id => id !== node && (directory.zoneOf(id) ?? zone) === zone);
  }

  private send(nodes: readonly string[], now: number): void {
    const {directory, fallback, node, peers, zone} = this.opts;
    const claim = fallback.claim(now);
    if (claim) directory.noteLead(claim);
    const body = {
      role: 'entry',
      zone,
      cores: directory.heardIds('core', now),
      entries: this.mateIds(now),
      highestToken: directory.highestToken,
      hasLead: this.hasLead(now),
      relays: !this.isDraining,
      mayFallBack: fallback.isAble,
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
    directory.note(from, role, now, zone);
    directory.noteRumour(cores, 'core', now);
    directory.noteRumour(entries, 'entry', now);
    directory.noteToken(highestToken);
    const {lead} = parsed.output;
    if (lead) directory.noteLead({...lead, node: from, heardAt: now});
    else directory.noteNoLead(from);
    if (role === 'entry') this.onMate(from, parsed.output, now);
    if (lead) this.opts.onDispatcher(now);
  }

  private onMate(
    from: string,
    says: {
      readonly zone?: string | undefined;
      readonly hasLead: boolean;
      readonly mayFallBack: boolean;
    },
    now: number,
  ): void {
    if (says.zone !== this.opts.zone) return;
    this.opts.zonePeers.note(from, says, now);
    // A node without a lead learns that the zone has one.
    if (!says.hasLead && this.hasLead(now)) this.send([from], now);
  }
}
