import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {OpenJob} from './open_job.js';

interface SendUnclearOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
}

/**
 * Tells the core nodes that a job may have run. Its caller may send it again to
 * an entry node of any zone, whose dispatcher must not refuse it as not run.
 */
export function sendUnclear(
  {id, assignedTo, wasResubmitted, wasReferredAgain}: OpenJob,
  {directory, clock, peers}: SendUnclearOptions,
): void {
  if (!assignedTo && !wasResubmitted && !wasReferredAgain) return;
  const now = clock.now();
  const dispatching = directory.claims.dispatchingNodes(now);
  for (const node of new Set([...directory.coreIds(now), ...dispatching])) {
    peers.send(node, 'pool.unclear', {ids: [id]});
  }
}
