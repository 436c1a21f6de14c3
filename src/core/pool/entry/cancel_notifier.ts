import type {PeerTransport} from '../../peer/peer_transport.js';
import {CancelledJobs} from '../job/cancelled_jobs.js';
import type {NodeDirectory} from '../node/node_directory.js';

/** Cancels of this time share one message. */
const SEND_INTERVAL_MS = 100;
/** A message to a node to which no link is open yet is lost. */
const REPEAT_MS = 1_000;
const MAX_IDS_PER_MESSAGE = 500;

interface CancelNotifierOptions {
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
}

/**
 * Keeps the cancels that callers have sent to this entry node, and sends them to
 * all core nodes and to each new dispatcher. A cancelled job thus stays cancelled
 * when its dispatcher changes, or when its request is submitted afterwards.
 */
export class CancelNotifier {
  private readonly cancelled = new CancelledJobs();
  private unsent: string[] = [];
  private nextSend = 0;
  /** Fencing tokens of the dispatchers that have been sent all cancels, by node. */
  private notified = new Map<string, number>();
  /** When to send all cancels to a node again. */
  private readonly repeats = new Map<string, number>();

  constructor(private readonly opts: CancelNotifierOptions) {}

  record(id: string, now: number): void {
    this.cancelled.add(id, now);
    this.unsent.push(id);
  }

  tick(now: number): void {
    this.notifyNewDispatchers(now);
    if (this.unsent.length === 0 || now < this.nextSend) return;
    this.nextSend = now + SEND_INTERVAL_MS;
    const ids = this.unsent;
    this.unsent = [];
    const {directory} = this.opts;
    for (const node of directory.coreIds(now)) this.send(node, ids);
  }

  private notifyNewDispatchers(now: number): void {
    const tokens = this.opts.directory.claims.dispatcherTokens(now);
    for (const [node, token] of tokens) {
      const isNew = this.notified.get(node) !== token;
      const isRepeated = now >= (this.repeats.get(node) ?? Infinity);
      if (!isNew && !isRepeated) continue;
      if (isNew) this.repeats.set(node, now + REPEAT_MS);
      else this.repeats.delete(node);
      this.send(node, this.cancelled.ids(now));
    }
    this.notified = tokens;
  }

  private send(node: string, ids: readonly string[]): void {
    for (let at = 0; at < ids.length; at += MAX_IDS_PER_MESSAGE) {
      const some = ids.slice(at, at + MAX_IDS_PER_MESSAGE);
      this.opts.peers.send(node, 'pool.cancelled', {ids: some});
    }
  }
}
