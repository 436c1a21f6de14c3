import type {PeerTransport} from '../../peer/peer_transport.js';
import type {EntryGateway} from './entry_gateway.js';

/** Time before the end at which jobs that have not run are given back. */
const RELEASE_MS = 400;
/** Time before the end at which the remaining jobs are given up. */
const GIVE_UP_MS = 250;
const REASON = 'entry_stopping';

interface EntryShutdownOptions {
  readonly gateway: EntryGateway;
  readonly peers: PeerTransport;
}

/**
 * Answers the open jobs of an entry node before its process ends. Only the
 * dispatcher of a job knows that no task of it has started, so it is asked to
 * release the job and to refuse it. Jobs that may have run get the rest of the
 * time, and are then given up.
 */
export class EntryShutdown {
  private endsAt = Number.POSITIVE_INFINITY;

  constructor(private readonly opts: EntryShutdownOptions) {}

  /** Begins the shutdown; the process ends at `endsAt`. */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
  }

  /** Repeats its messages, as they may be lost and jobs may be reassigned. */
  tick(now: number): void {
    if (now >= this.endsAt - GIVE_UP_MS) this.giveUp();
    else if (now >= this.endsAt - RELEASE_MS) this.release();
  }

  private release(): void {
    const {gateway, peers} = this.opts;
    const idsByNode = new Map<string, string[]>();
    for (const job of [...gateway.jobs.values()]) {
      const {id, assignedTo} = job;
      if (!assignedTo) {
        gateway.refuse(job, REASON);
        continue;
      }
      const ids = idsByNode.get(assignedTo.node) ?? [];
      ids.push(id);
      idsByNode.set(assignedTo.node, ids);
    }
    for (const [node, ids] of idsByNode) {
      peers.send(node, 'pool.release', {ids, reason: REASON});
    }
  }

  private giveUp(): void {
    const {gateway} = this.opts;
    for (const job of [...gateway.jobs.values()]) gateway.expire(job, REASON);
  }
}
