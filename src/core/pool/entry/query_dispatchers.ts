import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {PoolMessage} from '../node/pool_message.js';
import type {PoolObserver} from '../pool_observer.js';

const QUERY_TIMEOUT_MS = 1_000;

const QueryReply = v.object({
  found: v.boolean(),
  pending: v.optional(v.number()),
  /** Revision in which the queue was looked up; older nodes omit it. */
  revision: v.optional(v.number()),
});

interface QueryOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly observer: PoolObserver;
}

/**
 * Queries the dispatchers of all zones, since a job may have been submitted in
 * any; returns undefined if the answer is not known. Whether a queue exists is told
 * by the newest configuration only: a dispatcher that has just been reached again
 * may have an older one.
 */
export async function queryDispatchers(
  {directory, clock, peers, observer}: QueryOptions,
  request: v.InferOutput<typeof PoolMessage.ask>,
): Promise<{readonly found: boolean; readonly pending?: number} | undefined> {
  const nodes = directory.claims.dispatchingNodes(clock.now());
  const replies = await Promise.all(
    nodes.map(node =>
      peers.request(node, 'pool.ask', request, QUERY_TIMEOUT_MS),
    ),
  );
  const known = replies.flatMap(res => {
    if (res.isErr) return [];
    const parsed = v.safeParse(QueryReply, res.value);
    return parsed.success ? [parsed.output] : [];
  });
  const revisions = known.map(({revision = 0}) => revision);
  const newest = Math.max(directory.claims.revision, ...revisions);
  const current = known.filter(({revision = newest}) => revision >= newest);
  if (current.length === 0) return undefined;
  const found = current.some(reply => reply.found);
  const isComplete = known.length > 0 && known.length === nodes.length;
  // A fallback knows the jobs and the configuration of its zone only.
  const mayDeny = directory.claims.hasRegularDispatcher(clock.now());
  if (!found && !(isComplete && mayDeny)) return undefined;
  if (!found && request.kind === 'pending') {
    const {host} = request;
    const revision = Math.max(...revisions);
    observer.recordStateChange('queue_denied', {host, revision, nodes});
  }
  const counts = known.flatMap(({pending}) => pending ?? []);
  if (counts.length === 0) return {found};
  return {found, pending: counts.reduce((sum, count) => sum + count, 0)};
}
