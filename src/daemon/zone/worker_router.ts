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
 * Sends each announcement to every node of the worker's zone, so that a new
 * dispatcher already has the workers. Only the dispatcher grants leases.
 */
export class WorkerRouter {
  constructor(
    private readonly zone: string,
    private readonly directory: ZoneDirectory,
    private readonly peers: PeerTransport,
    private readonly service: ZoneService,
    /** Returns this node's epoch; undefined if it is not the dispatcher. */
    private readonly getEpoch: () => number | undefined,
    private readonly getLeader: () => string | undefined,
  ) {
    peers.onRequest('worker.announce', async (_from, body) =>
      this.receive(v.parse(WorkerAnnouncement, body)),
    );
  }

  /** Returns the dispatcher's lease; undefined if none was granted in time. */
  async announce(
    announcement: WorkerAnnouncement,
  ): Promise<LeaseGrant | undefined> {
    const grants = this.directory.nodes(announcement.zone).map(async node => {
      const reply = await this.send(node, announcement);
      return reply?.grant ?? Promise.reject(new Error('no lease granted'));
    });
    // The first grant is returned, so that a dead node delays no worker.
    return Promise.any(grants).catch(() => undefined);
  }

  /**
   * Sends an offer of spare slots to the dispatcher of another zone. The other
   * nodes need no copy, since a new dispatcher gets the next offer.
   */
  async offer(announcement: WorkerAnnouncement): Promise<void> {
    const {zone} = announcement;
    const dispatcher = this.directory.dispatcher(zone);
    const nodes =
      dispatcher === undefined ? this.directory.nodes(zone) : [dispatcher];
    const replies = nodes.map(node => this.send(node, announcement));
    for (const reply of await Promise.all(replies)) {
      this.directory.setDispatcher(zone, reply?.leader);
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
    // An announcement from an earlier incarnation must not renew the lease.
    const isAccepted =
      announcement.zone === this.zone && this.service.announce(announcement);
    const epoch = this.getEpoch();
    const grant =
      epoch === undefined || !isAccepted
        ? undefined
        : {lease_ms: WorkerRegistry.LEASE_MS, epoch};
    return {leader: this.getLeader(), grant};
  }
}
