import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {PoolDispatcher} from '../dispatcher/pool_dispatcher.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {PoolMessage} from '../node/pool_message.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import {fingerprintWorkers} from './fingerprint_workers.js';
import type {Predecessor} from './predecessor.js';
import {StartHistory} from './start_history.js';

/** Far below the time for which ends stay on the workers' lists. */
const INTERVAL_MS = 200;

interface StartReplicatorOptions {
  readonly node: string;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly registry: WorkerRegistry;
}

/**
 * Sends the core nodes the jobs that this node's dispatcher has started, and
 * keeps the record of the other nodes' dispatchers for a takeover.
 */
export class StartReplicator {
  private readonly history = new StartHistory();
  private dispatcher: PoolDispatcher | undefined;
  private batches = 0;
  private nextSend = 0;

  constructor(private readonly opts: StartReplicatorOptions) {
    opts.peers.onMessage('pool.starts', (from, body, now) => {
      if (v.is(PoolMessage.starts, body)) this.history.receive(from, body, now);
    });
  }

  /** What is known of the predecessor of a dispatcher that starts now. */
  predecessor(now: number): Predecessor {
    const {history, opts} = this;
    const workers = fingerprintWorkers(opts.registry.reports);
    return {
      startedJobs: [...history.jobs],
      recordCompleteUntil: history.completeUntil(workers, now),
    };
  }

  /** Sends the started jobs of the dispatcher if it is time to. */
  tick(dispatcher: PoolDispatcher | undefined, now: number): void {
    if (dispatcher !== this.dispatcher) this.nextSend = now;
    this.dispatcher = dispatcher;
    if (!dispatcher || now < this.nextSend) return;
    this.nextSend = now + INTERVAL_MS;
    const {node, peers, directory, registry} = this.opts;
    this.batches += 1;
    const batch = {
      token: dispatcher.token,
      number: this.batches,
      jobs: dispatcher.started.take(),
      workers: fingerprintWorkers(registry.reports),
      isSettled: dispatcher.isSettled(now),
    };
    this.history.receive(node, batch, now);
    for (const id of directory.coreIds(now)) {
      if (id !== node) peers.send(id, 'pool.starts', batch);
    }
  }
}
