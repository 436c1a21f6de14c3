import type * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {PoolMessage} from '../node/pool_message.js';
import type {OpenJob} from './open_job.js';
import {pollCutoffMs} from './poll_cutoff_ms.js';
import type {ZoneContacts} from './zone_contacts.js';

/** Interval of polls; contacts stay too young to shorten leases by it. */
const POLL_MS = 200;

type Confirmation = v.InferOutput<typeof PoolMessage.confirm>;
type Statement = Pick<DispatcherClaim, 'node' | 'statedAt'>;

interface JobPollsOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
}

/**
 * Asks each dispatcher about the jobs that it has, which states that their callers
 * still wait. A poll names the claim that was heard before its callers' connections
 * were read: a caller that had gone when the claim was stated is then known to have.
 */
export class JobPolls {
  private nextPoll = 0;

  constructor(
    private readonly opts: JobPollsOptions,
    private readonly jobs: ReadonlyMap<string, OpenJob>,
    private readonly contacts: ZoneContacts,
  ) {}

  tick(now: number): void {
    if (now < this.nextPoll) return;
    let isBehind = false;
    const jobsByClaim = new Map<DispatcherClaim, OpenJob[]>();
    for (const job of this.jobs.values()) {
      const {claim} = this.contacts.of(job.zone);
      if (!claim || claim.node !== job.assignedTo?.node) continue;
      if (now - claim.heardAt >= pollCutoffMs(job)) {
        isBehind = true;
        continue;
      }
      const jobs = jobsByClaim.get(claim) ?? [];
      jobs.push(job);
      jobsByClaim.set(claim, jobs);
    }
    // After a delay of this node, newer claims wait to be read.
    this.nextPoll = isBehind ? now : now + POLL_MS;
    if (jobsByClaim.size === 0) return;
    this.opts.clock.afterInput(() => {
      for (const [claim, jobs] of jobsByClaim) this.send(claim, jobs);
    });
  }

  /** Polls a dispatcher for those of its jobs whose callers still wait. */
  confirm(node: string, {ids, claimStatedAt}: Confirmation): void {
    const jobs = ids.flatMap(id => this.jobs.get(id) ?? []);
    this.opts.clock.afterInput(() =>
      this.send({node, statedAt: claimStatedAt}, jobs),
    );
  }

  private send({node, statedAt}: Statement, jobs: readonly OpenJob[]): void {
    const ids = jobs
      .filter(job => this.jobs.get(job.id) === job)
      .filter(job => job.assignedTo?.node === node)
      .map(({id}) => id);
    if (ids.length === 0) return;
    this.opts.peers.send(node, 'pool.poll', {ids, claimStatedAt: statedAt});
  }
}
