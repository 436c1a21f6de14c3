import * as v from 'valibot';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import {WorkerAnnouncement} from '../../core/worker/worker_announcement.js';
import {WorkerRegistry} from '../../core/worker/worker_registry.js';
import type {ZoneDirectory} from './zone_directory.js';
import type {ZoneService} from './zone_service.js';

const GRANT_TIMEOUT_MS = 500;

interface LeaseGrant {
  readonly lease_ms: number;
  readonly epoch: number;
}

interface AnnounceReply {
  readonly leader: string | undefined;
  readonly grant: LeaseGrant | undefined;
}

/**
 * Brings announcements to every node of the worker's zone, so that a successor
 * knows the workers; only the dispatcher grants the lease.
 */
export class WorkerRouter {
  constructor(
    private readonly zone: string,
    private readonly directory: ZoneDirectory,
    private readonly peers: PeerTransport,
    private readonly service: ZoneService,
    private readonly leading: () => number | undefined,
    private readonly leader: () => string | undefined,
  ) {
    peers.onRequest('worker.announce', async (_from, body) =>
      this.receive(v.parse(WorkerAnnouncement, body)),
    );
  }

  /** The lease the dispatcher grants; undefined if it cannot be reached. */
  async announce(
    announcement: WorkerAnnouncement,
  ): Promise<LeaseGrant | undefined> {
    const grants = this.directory.nodes(announcement.zone).map(async node => {
      const reply = await this.send(node, announcement);
      return reply?.grant ?? Promise.reject(new Error('no grant'));
    });
    // The first grant answers; a dead node must not delay the others.
    return Promise.any(grants).catch(() => undefined);
  }

  /**
   * Brings an offer of slots to the dispatcher of a zone. A successor hears of
   * the slots with the next offer, so the other nodes need no copy.
   */
  async offer(announcement: WorkerAnnouncement): Promise<void> {
    const {zone} = announcement;
    const leader = this.directory.leader(zone);
    const nodes = leader === undefined ? this.directory.nodes(zone) : [leader];
    const replies = nodes.map(node => this.send(node, announcement));
    for (const reply of await Promise.all(replies)) {
      this.directory.setLeader(zone, reply?.leader);
    }
  }

  private async send(
    node: string,
    announcement: WorkerAnnouncement,
  ): Promise<AnnounceReply | undefined> {
    const res = await this.peers.request(
      node,
      'worker.announce',
      announcement,
      GRANT_TIMEOUT_MS,
    );
    return res.unwrapOr(undefined) as AnnounceReply | undefined;
  }

  private receive(announcement: WorkerAnnouncement): AnnounceReply {
    // An announcement of an ended incarnation must not renew its lease.
    const isAccepted =
      announcement.zone === this.zone && this.service.announce(announcement);
    const epoch = this.leading();
    const grant =
      epoch === undefined || !isAccepted
        ? undefined
        : {lease_ms: WorkerRegistry.LEASE_MS, epoch};
    return {leader: this.leader(), grant};
  }
}
