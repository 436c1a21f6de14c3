import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {AttemptReport} from '../upstream/attempt_report.js';
import type {AttemptStart} from '../upstream/attempt_start.js';
import type {UpstreamClient} from '../upstream/upstream_client.js';
import type {UpstreamListener} from '../upstream/upstream_listener.js';
import type {WorkerTarget} from '../upstream/worker_target.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerAnnouncement} from '../worker/worker_announcement.js';
import {WorkerRegistry} from '../worker/worker_registry.js';
import type {WorkerState} from '../worker/worker_state.js';

/** Age from which the worker is asked about an attempt. Most tasks end sooner. */
const ASK_AFTER_MS = 1_000;
const ASK_INTERVAL_MS = 1_000;
const FENCE_RETRY_MS = 250;

interface AttemptManagerOptions {
  readonly registry: WorkerRegistry;
  readonly upstream: UpstreamClient;
  /** Called once for each attempt that ends, after its slot is free. */
  readonly onEnded: (attempt: RunningAttempt, outcome: AttemptOutcome) => void;
  /** Called when workers or their capacity changed. */
  readonly onCapacity: () => void;
  /** Called when a worker obeys a higher epoch than this dispatcher's. */
  readonly onSuperseded: (epoch: number) => void;
}

/**
 * Owns the attempts that hold slots: sends starts and stops, fences workers,
 * and settles by asking whatever gets no answer.
 */
export class AttemptManager implements UpstreamListener {
  private epoch = 0;
  /** Attempts inherited from an earlier epoch on workers not yet heard of. */
  private orphans = new Map<string, RunningAttempt[]>();
  private orphansExpireAt = 0;
  /** Ended attempts that the worker may forget, by worker. */
  private readonly forgettable = new Map<string, string[]>();

  constructor(private readonly opts: AttemptManagerOptions) {
    opts.upstream.listen(this);
  }

  /** Starts an epoch: every worker is fenced before its first start. */
  lead(epoch: number, inherited: readonly RunningAttempt[], now: number): void {
    this.epoch = epoch;
    this.orphans.clear();
    this.forgettable.clear();
    this.opts.registry.assumeFreshLeases(now);
    this.orphansExpireAt = now + 2 * WorkerRegistry.LEASE_MS;
    for (const worker of this.opts.registry.list()) clearAttempts(worker);
    for (const attempt of inherited) this.inherit(attempt);
    for (const worker of this.opts.registry.list()) this.fence(worker, now);
  }

  /** Stops acting; the successor settles what runs. */
  follow(): void {
    this.epoch = 0;
    this.orphans.clear();
    for (const worker of this.opts.registry.list()) clearAttempts(worker);
  }

  /** Takes a worker's announcement; false if a newer one overtook it. */
  announce(announcement: WorkerAnnouncement, now: number): boolean {
    const {registry} = this.opts;
    const {accepted, replaced} = registry.announce(announcement, now);
    if (!accepted || this.epoch === 0) return accepted;
    if (replaced) this.endAll(replaced, 'the worker restarted');
    const worker = registry.get(announcement.worker)!;
    this.adoptOrphans(worker);
    if (announcement.epoch > this.epoch) {
      this.opts.onSuperseded(announcement.epoch);
    }
    if (worker.fencedEpoch !== this.epoch) this.fence(worker, now);
    this.opts.onCapacity();
    return true;
  }

  /** Sends starts whose intents are committed, one message per worker. */
  start(
    worker: WorkerState,
    attempts: readonly RunningAttempt[],
    starts: readonly AttemptStart[],
    now: number,
  ): void {
    for (const attempt of attempts) {
      attempt.phase = 'sent';
      attempt.since = now;
    }
    this.opts.upstream.start(target(worker), this.epoch, starts);
  }

  /** Stops running attempts, one message per worker. */
  stop(attempts: Iterable<RunningAttempt>): void {
    const byWorker = new Map<string, string[]>();
    for (const attempt of attempts) {
      if (attempt.phase !== 'sent' || attempt.stopping) continue;
      attempt.stopping = true;
      const ids = byWorker.get(attempt.worker) ?? [];
      ids.push(attempt.id);
      byWorker.set(attempt.worker, ids);
    }
    for (const [id, ids] of byWorker) {
      const worker = this.opts.registry.get(id);
      if (worker) this.opts.upstream.stop(target(worker), this.epoch, ids);
    }
  }

  /** Ends an attempt that was placed but never sent. */
  withdraw(attempt: RunningAttempt, reason: string): void {
    const worker = this.opts.registry.get(attempt.worker);
    if (worker) this.end(worker, attempt.id, {kind: 'never_started', reason});
  }

  /** The result of the attempt is stored; its worker may drop it. */
  forget(worker: string, attempt: string): void {
    const ids = this.forgettable.get(worker) ?? [];
    ids.push(attempt);
    this.forgettable.set(worker, ids);
  }

  tick(now: number): void {
    if (this.epoch === 0) return;
    this.expireLeases(now);
    this.expireOrphans(now);
    for (const worker of this.opts.registry.list()) this.ask(worker, now);
  }

  reported(from: WorkerTarget, reports: readonly AttemptReport[]): void {
    const worker = this.matching(from);
    if (!worker) return;
    const stillRunning: string[] = [];
    for (const report of reports) {
      const attempt = worker.attempts.get(report.id);
      if (report.state !== 'running') {
        this.end(worker, report.id, outcomeOf(report));
      } else if (attempt?.stopping) {
        stillRunning.push(report.id);
      }
    }
    if (stillRunning.length > 0) {
      this.opts.upstream.stop(target(worker), this.epoch, stillRunning);
    }
  }

  fenced(
    from: WorkerTarget,
    epoch: number,
    known: readonly AttemptReport[],
  ): void {
    const worker = this.matching(from);
    if (!worker || epoch !== this.epoch) return;
    if (worker.fencedEpoch === epoch) return;
    worker.fencedEpoch = epoch;
    const knownIds = new Set(known.map(report => report.id));
    for (const id of [...worker.attempts.keys()]) {
      if (knownIds.has(id)) continue;
      // The fence refuses a late start of an earlier epoch.
      const reason = 'fenced before the start arrived';
      this.end(worker, id, {kind: 'never_started', reason});
    }
    for (const report of known) {
      if (worker.attempts.has(report.id)) continue;
      if (report.state === 'running') worker.foreign.add(report.id);
      else this.forget(worker.id, report.id);
    }
    this.reported(from, known);
    this.opts.onCapacity();
  }

  replaced(from: WorkerTarget): void {
    const worker = this.matching(from);
    if (!worker) return;
    this.endAll(worker, 'the worker restarted');
    // The lease belongs to the incarnation that is gone.
    worker.leaseExpiresAt = 0;
  }

  superseded(from: WorkerTarget, epoch: number): void {
    if (epoch > this.epoch && this.matching(from)) {
      this.opts.onSuperseded(epoch);
    }
  }

  private inherit(attempt: RunningAttempt): void {
    const worker = this.opts.registry.get(attempt.worker);
    if (worker?.incarnation === attempt.incarnation) {
      worker.occupy(attempt);
      return;
    }
    const waiting = this.orphans.get(attempt.worker) ?? [];
    waiting.push(attempt);
    this.orphans.set(attempt.worker, waiting);
  }

  private adoptOrphans(worker: WorkerState): void {
    const waiting = this.orphans.get(worker.id);
    if (!waiting) return;
    this.orphans.delete(worker.id);
    for (const attempt of waiting) {
      if (attempt.incarnation === worker.incarnation) {
        worker.occupy(attempt);
      } else {
        this.opts.onEnded(attempt, unknown('the worker restarted'));
      }
    }
  }

  private expireOrphans(now: number): void {
    if (this.orphans.size === 0 || now < this.orphansExpireAt) return;
    const waiting = [...this.orphans.values()].flat();
    this.orphans.clear();
    for (const attempt of waiting) {
      this.opts.onEnded(attempt, unknown('the worker is lost'));
    }
  }

  private expireLeases(now: number): void {
    const expired = this.opts.registry.expire(now);
    for (const worker of expired) {
      this.forgettable.delete(worker.id);
      this.endAll(worker, "the worker's lease expired");
    }
    if (expired.length > 0) this.opts.onCapacity();
  }

  private fence(worker: WorkerState, now: number): void {
    worker.lastAsked = now;
    this.opts.upstream.fence(target(worker), this.epoch);
  }

  private ask(worker: WorkerState, now: number): void {
    if (worker.fencedEpoch !== this.epoch) {
      if (now - worker.lastAsked >= FENCE_RETRY_MS) this.fence(worker, now);
      return;
    }
    if (now - worker.lastAsked < ASK_INTERVAL_MS) return;
    const overdue: string[] = [...worker.foreign];
    for (const attempt of worker.attempts.values()) {
      const isOverdue = now - attempt.since >= ASK_AFTER_MS;
      if (attempt.phase === 'sent' && isOverdue) overdue.push(attempt.id);
    }
    const forget = this.forgettable.get(worker.id) ?? [];
    if (overdue.length === 0 && forget.length === 0) return;
    this.forgettable.delete(worker.id);
    worker.lastAsked = now;
    this.opts.upstream.settle(target(worker), this.epoch, overdue, forget);
  }

  private endAll(worker: WorkerState, reason: string): void {
    worker.foreign.clear();
    for (const attempt of [...worker.attempts.values()]) {
      // Nothing was sent for a proposed attempt, so nothing can have run.
      const outcome: AttemptOutcome =
        attempt.phase === 'proposed'
          ? {kind: 'never_started', reason}
          : unknown(reason);
      this.end(worker, attempt.id, outcome);
    }
  }

  private end(worker: WorkerState, id: string, outcome: AttemptOutcome): void {
    const attempt = worker.release(id);
    if (attempt) this.opts.onEnded(attempt, outcome);
  }

  private matching(from: WorkerTarget): WorkerState | undefined {
    const worker = this.opts.registry.get(from.worker);
    return worker?.incarnation === from.incarnation ? worker : undefined;
  }
}

function clearAttempts(worker: WorkerState): void {
  for (const id of [...worker.attempts.keys()]) worker.release(id);
  worker.foreign.clear();
}

function target({announcement}: WorkerState): WorkerTarget {
  const {worker, incarnation, address, connections} = announcement;
  return {worker, incarnation, address, connections};
}

function unknown(reason: string): AttemptOutcome {
  return {kind: 'unknown', reason};
}

function outcomeOf(
  report: Exclude<AttemptReport, {state: 'running'}>,
): AttemptOutcome {
  switch (report.state) {
    case 'succeeded':
      return {kind: 'succeeded', result: report.result};
    case 'failed':
      return {kind: 'failed', error: report.error};
    case 'stopped':
      return {kind: 'stopped'};
    case 'never_started':
      return {kind: 'never_started', reason: report.reason};
  }
}
