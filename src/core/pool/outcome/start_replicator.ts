import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {PoolDispatcher} from '../dispatcher/pool_dispatcher.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {PoolMessage} from '../node/pool_message.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import {fingerprintWorkers} from './fingerprint_workers.js';
import type {Predecessor} from './predecessor.js';
import {RecordConfirmations} from './record_confirmations.js';
import {RecordTiming} from './record_timing.js';
import {StartHistory} from './start_history.js';

interface StartReplicatorOptions {
  readonly node: string;
  readonly clock: Clock;
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
  private readonly confirmations = new RecordConfirmations();
  private recorded = Number.NEGATIVE_INFINITY;
  private batches = 0;
  private nextSend = 0;
  private workers = 0;
  private nextFingerprint = 0;

  constructor(private readonly opts: StartReplicatorOptions) {
    opts.peers.onMessage('pool.starts', (from, body, now) => {
      if (!v.is(PoolMessage.starts, body)) return;
      this.history.receive(from, body, now);
      const {token, number} = body;
      opts.peers.send(from, 'pool.started', {token, number});
    });
    opts.peers.onMessage('pool.started', (from, body, now) => {
      if (!v.is(PoolMessage.started, body)) return;
      if (body.token !== this.dispatcher?.token) return;
      this.confirmations.confirm(from, body.number, now);
      this.updateRecorded(now);
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

  /** Time up to which the ends listed here are recorded at the core nodes. */
  get recordedUntil(): number {
    return this.recorded;
  }

  /** Sends the started jobs of the dispatcher if it is time to. */
  tick(dispatcher: PoolDispatcher | undefined, now: number): void {
    if (dispatcher !== this.dispatcher) this.attach(dispatcher);
    if (!dispatcher) return;
    this.updateRecorded(now);
    if (now >= this.nextSend) this.send(dispatcher, now);
  }

  private attach(dispatcher: PoolDispatcher | undefined): void {
    this.dispatcher = dispatcher;
    this.nextSend = 0;
    this.recorded = Number.NEGATIVE_INFINITY;
    this.confirmations.clear();
    if (!dispatcher) return;
    dispatcher.started.onPending = () => this.scheduleSend(dispatcher);
  }

  private scheduleSend(dispatcher: PoolDispatcher): void {
    const {clock} = this.opts;
    clock.schedule(RecordTiming.FLUSH_MS, () => {
      if (dispatcher === this.dispatcher) this.send(dispatcher, clock.now());
    });
  }

  private send(dispatcher: PoolDispatcher, now: number): void {
    this.nextSend = now + RecordTiming.IDLE_MS;
    const {node, peers, directory} = this.opts;
    this.batches += 1;
    const batch = {
      token: dispatcher.token,
      number: this.batches,
      jobs: dispatcher.started.take(),
      workers: this.fingerprint(now),
      isSettled: dispatcher.isSettled(now),
    };
    this.history.receive(node, {...batch, isAwaited: true}, now);
    this.confirmations.sent(batch.number, now);
    for (const id of directory.coreIds(now)) {
      if (id === node) continue;
      const isAwaited = this.confirmations.isAwaited(id, now);
      peers.send(id, 'pool.starts', {...batch, isAwaited});
    }
    this.updateRecorded(now);
  }

  /** Computed only from time to time, as workers rarely change. */
  private fingerprint(now: number): number {
    if (now >= this.nextFingerprint) {
      this.nextFingerprint = now + RecordTiming.IDLE_MS;
      this.workers = fingerprintWorkers(this.opts.registry.reports);
    }
    return this.workers;
  }

  private updateRecorded(now: number): void {
    const {directory} = this.opts;
    const nodes = directory.seenIds('core', now);
    const recorded = this.confirmations.recordedUntil(nodes, now);
    if (recorded <= this.recorded) return;
    this.recorded = recorded;
    this.dispatcher?.started.onRecorded(now);
  }
}
