import type {WorkerListRequest} from './worker_list_request.js';
import {WorkerListTiming} from './worker_list_timing.js';
import type {WorkerReport} from './worker_report.js';

/** Limit of remembered removals; a node that lacks older ones gets the whole list. */
const MAX_REMOVED = 1_000;

interface Copy {
  /** Version that the node has confirmed. */
  version: number;
  /** Until when the node may count its copy as complete. */
  until: number;
}

/**
 * Workers that one dispatcher uses, with copies on the nodes that may dispatch next.
 * A worker is used once each node with a copy has confirmed it, or can no longer
 * count its copy as complete.
 */
export class WorkerList {
  private version = 1;
  /** Version up to which removals are not remembered. */
  private wholeUntil = 0;
  private readonly listed = new Map<
    string,
    {readonly report: WorkerReport; readonly version: number}
  >();
  private readonly removed = new Map<string, number>();
  private readonly copies = new Map<string, Copy>();
  /** Workers that could not be used when the dispatcher last asked for them. */
  private waiting = new Set<string>();
  private waitedBefore = new Set<string>();
  /** Version that the nodes with copies were last asked to confirm. */
  private notified = 0;
  private nextNotice = 0;

  /** `token` is the one under which the dispatcher was opened. */
  constructor(readonly token: number) {}

  get reports(): readonly WorkerReport[] {
    return [...this.listed.values()].map(({report}) => report);
  }

  /** Whether a worker could not be used when it was last asked for. */
  get isWaiting(): boolean {
    return this.waiting.size > 0;
  }

  /** Lists a worker; returns whether the dispatcher may use it. */
  mayUse(report: WorkerReport, now: number): boolean {
    const {id, address} = report;
    let entry = this.listed.get(id);
    if (entry?.report.address !== address) {
      this.version += 1;
      entry = {report, version: this.version};
      this.listed.set(id, entry);
      this.removed.delete(id);
    }
    const isConfirmed = entry.version <= this.confirmedVersion(now);
    if (!isConfirmed) this.waiting.add(id);
    else this.waitedBefore.delete(id);
    return isConfirmed;
  }

  /** Removes a worker that the dispatcher no longer uses. */
  remove(id: string): void {
    if (!this.listed.delete(id)) return;
    this.version += 1;
    this.removed.set(id, this.version);
    if (this.removed.size <= MAX_REMOVED) return;
    this.removed.clear();
    this.wholeUntil = this.version;
  }

  /** Nodes that are to confirm workers that wait; once for each version. */
  nodesToNotify(now: number): string[] {
    if (!this.isWaiting || this.notified === this.version) return [];
    if (now < this.nextNotice) return [];
    this.notified = this.version;
    this.nextNotice = now + WorkerListTiming.NOTIFY_MS;
    return this.liveCopies(now)
      .filter(([, copy]) => copy.version < this.version)
      .map(([node]) => node);
  }

  /** Version that all nodes with a copy have confirmed. */
  confirmedVersion(now: number): number {
    const versions = this.liveCopies(now).map(([, {version}]) => version);
    return Math.min(this.version, ...versions);
  }

  /** Begins a pass in which the dispatcher asks for the workers that wait. */
  beginPass(): void {
    this.waitedBefore = this.waiting;
    this.waiting = new Set();
  }

  /** Removes the workers that have left while they waited. */
  endPass(): void {
    for (const id of this.waitedBefore) {
      if (!this.waiting.has(id)) this.remove(id);
    }
    this.waitedBefore.clear();
  }

  /** Answers a node that has a copy, or wants one. */
  answer(node: string, request: WorkerListRequest, now: number) {
    const {version, token} = this;
    const isCopy = request.token === token && request.version > 0;
    if (isCopy) this.recordCopy(node, request.version, now);
    const since =
      isCopy && request.version >= this.wholeUntil ? request.version : 0;
    const added = [...this.listed.values()].filter(e => e.version > since);
    const removed = [...this.removed].filter(([, at]) => at > since);
    return {
      firstToken: token,
      since,
      version,
      isHeld: isCopy,
      reports: added.map(({report}) => report),
      removed: removed.map(([id]) => id),
    };
  }

  /** Handles that a node no longer relies on its copy. */
  release(node: string): void {
    this.copies.delete(node);
  }

  private liveCopies(now: number): Array<[string, Copy]> {
    return [...this.copies].filter(([, {until}]) => now < until);
  }

  /** A copy that was not held before is complete with the answer. */
  private recordCopy(node: string, confirmed: number, now: number): void {
    const before = this.copies.get(node);
    const isHeld = before !== undefined && now < before.until;
    const version = isHeld ? Math.max(before.version, confirmed) : this.version;
    this.copies.set(node, {version, until: now + WorkerListTiming.HELD_MS});
  }
}
