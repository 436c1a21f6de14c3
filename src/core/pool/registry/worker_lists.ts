import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import {FailoverTiming} from '../node/failover_timing.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {WorkerList} from './worker_list.js';
import {WorkerListCopies} from './worker_list_copies.js';
import type {WorkerListCopy} from './worker_list_copy.js';
import {WorkerListRequest} from './worker_list_request.js';
import {WorkerListTiming} from './worker_list_timing.js';
import type {WorkerRegistry} from './worker_registry.js';
import type {WorkerReport} from './worker_report.js';

interface WorkerListsOptions {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly directory: NodeDirectory;
  readonly registry: WorkerRegistry;
  /** Present token of this node's dispatcher. */
  readonly currentToken: () => number;
  /** Called when another node has confirmed the workers that wait. */
  readonly onConfirmed: (now: number) => void;
}

/** A dispatcher that is opened. */
interface Opening {
  readonly term: number;
  /** Zone of a holder; undefined for the leader. */
  readonly zone: string | undefined;
  /** Zones that the leader does not dispatch. */
  readonly excluded: ReadonlySet<string>;
  readonly token: number;
  /** Token of the dispatcher that had a granted zone before, if known. */
  readonly earlierToken: number | undefined;
}

interface Opened extends Opening {
  readonly at: number;
  readonly list: WorkerList;
  readonly isRegistryComplete: boolean;
}

/**
 * The workers of this node's dispatcher, and copies of those of the dispatchers that
 * it may succeed. A dispatcher knows all runs of an earlier one only if it has all
 * workers of that one.
 */
export class WorkerLists {
  private readonly copies: WorkerListCopies;
  private opened: Opened | undefined;

  constructor(private readonly opts: WorkerListsOptions) {
    const {peers} = opts;
    this.copies = new WorkerListCopies(opts);
    peers.onRequest('pool.workers', (from, body) =>
      Promise.resolve(this.onRequest(from, body)),
    );
    peers.onMessage('pool.workers_released', from =>
      this.opened?.list.release(from),
    );
  }

  /**
   * Begins the list of a dispatcher, with the workers of the earlier ones in the
   * registry. Returns the options of PoolDispatcher.
   */
  open(opening: Opening, now: number) {
    const {registry, clock} = this.opts;
    const copies = this.copies
      .valid(now)
      .filter(copy => isSucceeded(opening, copy));
    this.copies.freeze(copies);
    for (const {workers} of copies) {
      for (const report of workers.values()) registry.update(report, now);
    }
    const list = new WorkerList(opening.token);
    const isRegistryComplete = isEarlierKnown(opening, copies);
    this.opened = {...opening, at: now, list, isRegistryComplete};
    return {
      isRegistryComplete,
      knowsWorkersOf: (token: number, handedOverAt: number) =>
        copies.some(
          copy => hasUsed(copy, token) && isUnchanged(copy, handedOverAt),
        ),
      mayJoin: (report: WorkerReport) => list.mayUse(report, clock.now()),
      onWorkerRemoved: (id: string) => list.remove(id),
    };
  }

  /** Keeps the list of the dispatcher, which uses no more workers. */
  close(now: number): void {
    const {opened} = this;
    if (!opened) return;
    const {reports} = opened.list;
    const workers = new Map(reports.map(report => [report.id, report]));
    this.copies.recordOwn({...this.describe(opened, now), workers}, now);
    this.opened = undefined;
  }

  /** Asks the dispatchers that this node may succeed for their workers. */
  tick(now: number): void {
    this.copies.tick(now);
  }

  /**
   * Runs a pass in which the dispatcher asks for new workers, and asks the other
   * nodes to confirm those that it may not use yet.
   */
  runPass(pass: () => void, now: number): void {
    const {opened, opts} = this;
    opened?.list.beginPass();
    pass();
    if (!opened) return;
    opened.list.endPass();
    for (const node of opened.list.nodesToNotify(now)) {
      opts.peers.send(node, 'pool.workers_changed', {});
    }
  }

  /** Lets no dispatcher wait for this node, which will not succeed it. */
  releaseCopies(): void {
    this.copies.release();
  }

  private onRequest(from: string, body: unknown) {
    const {opened, opts} = this;
    if (!opened || !v.is(WorkerListRequest, body)) return undefined;
    const now = opts.clock.now();
    const {list} = opened;
    const confirmed = list.confirmedVersion(now);
    const changes = list.answer(from, body, now);
    const isNew = list.confirmedVersion(now) > confirmed;
    if (list.isWaiting && isNew) opts.onConfirmed(now);
    return {...this.describe(opened, now), ...changes};
  }

  private describe(opened: Opened, now: number) {
    const {term, zone, token: firstToken, isRegistryComplete, at} = opened;
    return {
      term,
      ...(zone === undefined ? {} : {zone}),
      firstToken,
      token: this.opts.currentToken(),
      // Runs of unknown workers have ended some time after the change.
      isComplete: isRegistryComplete || now - at > FailoverTiming.RUNS_ENDED_MS,
    };
  }
}

/** Whether a dispatcher takes over what the one of a copy dispatches. */
function isSucceeded(
  {zone, excluded, earlierToken = 0}: Opening,
  copy: WorkerListCopy,
): boolean {
  if (zone !== undefined) {
    return copy.zone === zone || hasUsed(copy, earlierToken);
  }
  return copy.zone === undefined || !excluded.has(copy.zone);
}

/**
 * Whether the dispatcher of a copy uses no other workers as long as it may start
 * tasks of a job that was handed over.
 */
function isUnchanged(
  {isFinal, validUntil}: WorkerListCopy,
  handedOverAt: number,
): boolean {
  return isFinal || handedOverAt + WorkerListTiming.LAST_START_MS <= validUntil;
}

/** Whether the workers of the dispatcher before a new one are known. */
function isEarlierKnown(
  {term, zone, earlierToken = 0}: Opening,
  copies: readonly WorkerListCopy[],
): boolean {
  if (zone !== undefined) {
    return copies.some(copy => hasUsed(copy, earlierToken));
  }
  // Another leader may have been there if a term is missing.
  return copies.some(copy => copy.zone === undefined && copy.term >= term - 1);
}

function hasUsed({firstToken, token}: WorkerListCopy, used: number): boolean {
  return used >= firstToken && used <= token;
}
