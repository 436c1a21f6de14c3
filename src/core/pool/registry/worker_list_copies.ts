import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {WorkerListChanges} from './worker_list_changes.js';
import type {WorkerListCopy} from './worker_list_copy.js';
import {WorkerListTiming} from './worker_list_timing.js';

interface WorkerListCopiesOptions {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
}

/**
 * Copies of the lists of workers of the dispatchers that this node may succeed: the
 * leader and the holder of its zone, and for the leader all holders.
 */
export class WorkerListCopies {
  private readonly byNode = new Map<string, WorkerListCopy>();
  private readonly nextRequests = new Map<string, number>();
  /** Tokens of the dispatchers that one of this node has succeeded. */
  private readonly succeeded = new Set<number>();
  private isReleased = false;

  constructor(private readonly opts: WorkerListCopiesOptions) {
    opts.peers.onMessage('pool.workers_changed', (from, _body, now) => {
      const copy = this.byNode.get(from);
      if (copy && !this.isSucceeded(copy)) this.request(from, now);
    });
  }

  /** Asks the dispatchers for changes. */
  tick(now: number): void {
    for (const node of this.findDispatchers(now)) {
      if (now >= (this.nextRequests.get(node) ?? 0)) this.request(node, now);
    }
  }

  /**
   * Records the final list of a dispatcher of this node. It is needed for the next
   * one only; later, some of its workers no longer exist.
   */
  recordOwn(
    copy: Omit<WorkerListCopy, 'version' | 'validUntil' | 'isFinal'>,
    now: number,
  ): void {
    const validUntil = now + WorkerListTiming.VALID_MS;
    const final = {version: 0, validUntil, isFinal: true};
    this.byNode.set(this.opts.node, {...copy, ...final});
  }

  /**
   * Confirms no more changes of a dispatcher that one of this node succeeds: it may
   * not know yet, and start tasks on new workers that the next one does not have.
   */
  freeze(copies: readonly WorkerListCopy[]): void {
    for (const {firstToken} of copies) this.succeeded.add(firstToken);
  }

  /** Copies that have all workers on which runs may be active. */
  valid(now: number): readonly WorkerListCopy[] {
    return [...this.byNode.values()].filter(
      copy => copy.isComplete && now < copy.validUntil,
    );
  }

  /** Gives up all copies, so that no dispatcher waits for this node. */
  release(): void {
    this.isReleased = true;
    for (const node of this.byNode.keys()) {
      if (node === this.opts.node) continue;
      this.opts.peers.send(node, 'pool.workers_released', {});
      this.byNode.delete(node);
    }
  }

  private isSucceeded({firstToken}: Pick<WorkerListCopy, 'firstToken'>) {
    return this.succeeded.has(firstToken);
  }

  private findDispatchers(now: number): ReadonlySet<string> {
    const {node, zone, directory} = this.opts;
    const {claims} = directory;
    const leader = claims.leader(now)?.node;
    const zones = leader === node ? claims.zoneTokens.keys() : [zone];
    const holders = [...zones].map(each => claims.liveHolderOf(each, now));
    const nodes = new Set([leader, ...holders].flatMap(id => id ?? []));
    nodes.delete(node);
    return this.isReleased ? new Set() : nodes;
  }

  private request(node: string, now: number): void {
    if (this.isReleased) return;
    const {REQUEST_MS, REQUEST_TIMEOUT_MS} = WorkerListTiming;
    this.nextRequests.set(node, now + REQUEST_MS);
    const copy = this.byNode.get(node);
    const isKept = copy !== undefined && !this.isSucceeded(copy);
    const {firstToken: token, version} = isKept
      ? copy
      : {firstToken: 0, version: 0};
    const {peers} = this.opts;
    void peers
      .request(node, 'pool.workers', {token, version}, REQUEST_TIMEOUT_MS)
      .then(res => {
        if (res.isOk) this.onChanges(node, res.value, now);
      });
  }

  private onChanges(node: string, body: unknown, askedAt: number): void {
    if (this.isReleased || !v.is(WorkerListChanges, body)) return;
    const {since, reports, removed, isHeld, ...source} = body;
    if (this.isSucceeded(source)) return;
    const known = this.byNode.get(node);
    const isSame = known?.firstToken === source.firstToken;
    if (!isSame && since > 0) return;
    const before = isSame ? known : undefined;
    const validUntil = Math.max(
      before?.validUntil ?? Number.NEGATIVE_INFINITY,
      isHeld ? askedAt + WorkerListTiming.VALID_MS : Number.NEGATIVE_INFINITY,
    );
    if (before && source.version <= before.version) {
      const {token, isComplete} = source;
      this.byNode.set(node, {...before, token, isComplete, validUntil});
      return;
    }
    const workers = new Map(since > 0 ? before?.workers : []);
    for (const id of removed) workers.delete(id);
    for (const report of reports) workers.set(report.id, report);
    this.byNode.set(node, {...source, workers, validUntil, isFinal: false});
    // Confirms the changes.
    this.request(node, this.opts.clock.now());
  }
}
