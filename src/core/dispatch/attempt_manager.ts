import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {JobEvent} from '../job/job_event.js';
import type {AttemptReport} from '../upstream/attempt_report.js';
import type {AttemptStart} from '../upstream/attempt_start.js';
import type {UpstreamListener} from '../upstream/upstream_listener.js';
import type {WorkerTarget} from '../upstream/worker_target.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerAnnouncement} from '../worker/worker_announcement.js';
import {WorkerRegistry} from '../worker/worker_registry.js';
import type {WorkerState} from '../worker/worker_state.js';
import type {AttemptManagerOptions} from './attempt_manager_options.js';
import {lostWorkerOutcome} from './lost_worker_outcome.js';
import {OrphanedAttempts} from './orphaned_attempts.js';
import {RetainedAttempts} from './retained_attempts.js';
import {toAttemptOutcome} from './to_attempt_outcome.js';
import {toTarget} from './to_target.js';

/** Age at which polling of an attempt begins. Most tasks end earlier. */
const POLL_AFTER_MS = 1_000;
const POLL_INTERVAL_MS = 1_000;
const FENCE_RETRY_MS = 250;
/** Time without a reply after which a worker loses its lease and its tasks. */
const UNRESPONSIVE_AFTER_MS = 5_000;

type Settled = Extract<JobEvent, {kind: 'settled'}>;

/**
 * Manages the attempts that hold slots: sends starts and stops, fences workers,
 * and polls workers for the outcome of attempts that they have not reported.
 */
export class AttemptManager implements UpstreamListener {
  private epoch = 0;
  /**
   * Attempts started by an earlier dispatcher. Workers report them on the
   * connection of that dispatcher, so they are polled at every tick.
   */
  private readonly inherited = new Set<string>();
  private readonly orphans = new OrphanedAttempts();
  private readonly retained = new RetainedAttempts();
  /**
   * Ended attempts whose outcome is not committed yet. Their workers must
   * retain them, because a new leader would poll them.
   */
  private readonly uncommitted = new Set<string>();

  constructor(private readonly opts: AttemptManagerOptions) {
    opts.upstream.listen(this);
  }

  /** Begins an epoch as leader; fences each worker before its first start. */
  lead(epoch: number, inherited: readonly RunningAttempt[], now: number): void {
    this.reset();
    this.epoch = epoch;
    this.opts.registry.assumeLongestLeases(now);
    for (const attempt of inherited) {
      this.inherited.add(attempt.id);
      this.inherit(attempt, now);
    }
    for (const worker of this.opts.registry.list()) this.fence(worker, now);
  }

  /** Drops all state; the new leader takes over the attempts. */
  follow(): void {
    this.reset();
  }

  /** Handles an announcement; returns false if it is refused. */
  announce(announcement: WorkerAnnouncement, now: number): boolean {
    const {registry} = this.opts;
    if (this.isUnresponsive(announcement, now)) return false;
    const {accepted, replaced} = registry.announce(announcement, now);
    if (!accepted || this.epoch === 0) return accepted;
    if (replaced) this.orphanAttempts(replaced);
    const worker = registry.get(announcement.worker)!;
    for (const attempt of this.orphans.takeOf(worker.id, worker.incarnation)) {
      worker.occupy(attempt);
    }
    if (announcement.epoch > this.epoch) {
      this.opts.onSuperseded(announcement.epoch);
    }
    if (worker.fencedEpoch !== this.epoch) this.fence(worker, now);
    this.opts.onCapacity();
    return true;
  }

  /** Sends the starts of attempts whose intents are committed. */
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
    this.opts.upstream.start(toTarget(worker), this.epoch, starts);
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
      if (worker) this.opts.upstream.stop(toTarget(worker), this.epoch, ids);
    }
  }

  /** Ends an attempt whose start has not been sent. */
  withdraw(attempt: RunningAttempt, reason: string): void {
    const worker = this.opts.registry.get(attempt.worker);
    if (worker) this.end(worker, attempt.id, {kind: 'never_started', reason});
  }

  /** Allows the worker to discard an attempt whose outcome is committed. */
  outcomeCommitted({worker, attempt, outcome}: Settled, now: number): void {
    this.uncommitted.delete(attempt);
    if (!this.opts.registry.get(worker)) return;
    if (outcome.kind === 'never_started') {
      this.retained.addTombstone(worker, attempt, now);
    } else {
      this.retained.addDiscardable(worker, attempt);
    }
  }

  /** Expires leases and polls workers. */
  tick(now: number): void {
    if (this.epoch === 0) return;
    this.expireLeases(now);
    this.endOrphans(
      this.orphans.takeExpired(now),
      'the worker did not return before its lease expired',
    );
    for (const worker of this.opts.registry.list()) this.poll(worker, now);
  }

  reported(from: WorkerTarget, reports: readonly AttemptReport[]): void {
    const worker = this.findIncarnation(from);
    if (!worker) {
      this.handleLateReports(from, reports);
      return;
    }
    worker.unansweredSince = undefined;
    const stillRunning: string[] = [];
    for (const report of reports) {
      const attempt = worker.attempts.get(report.id);
      if (report.state !== 'running') {
        if (worker.inherited.has(report.id)) this.priorEnded(worker, report.id);
        this.end(worker, report.id, toAttemptOutcome(report));
      } else if (attempt?.stopping) {
        stillRunning.push(report.id);
      }
    }
    if (stillRunning.length > 0) {
      this.opts.upstream.stop(toTarget(worker), this.epoch, stillRunning);
    }
  }

  fenced(
    from: WorkerTarget,
    epoch: number,
    known: readonly AttemptReport[],
  ): void {
    const worker = this.findIncarnation(from);
    if (!worker || epoch !== this.epoch) return;
    worker.unansweredSince = undefined;
    if (worker.fencedEpoch === epoch) return;
    worker.fencedEpoch = epoch;
    const knownIds = new Set(known.map(report => report.id));
    for (const id of [...worker.attempts.keys()]) {
      if (knownIds.has(id)) continue;
      // After the fence, the worker refuses starts of earlier epochs.
      const reason = 'the worker was fenced before it received the start';
      this.end(worker, id, {kind: 'never_started', reason});
    }
    for (const report of known) {
      if (worker.attempts.has(report.id)) continue;
      if (report.state === 'running') worker.inherited.add(report.id);
      else this.priorEnded(worker, report.id);
    }
    const replaced = this.orphans.takeOthers(worker.id, worker.incarnation);
    this.endOrphans(replaced, 'the worker restarted');
    this.reported(from, known);
    this.opts.onCapacity();
  }

  forgotten(from: WorkerTarget, attempts: readonly string[]): void {
    const worker = this.findIncarnation(from);
    if (worker) this.retained.confirmDiscarded(worker.id, attempts);
  }

  replaced(from: WorkerTarget): void {
    const worker = this.findIncarnation(from);
    if (!worker) return;
    this.endAll(worker, 'the worker restarted');
    // The lease was granted to the incarnation that has ended.
    worker.leaseExpiresAt = 0;
  }

  superseded(from: WorkerTarget, epoch: number): void {
    if (epoch > this.epoch && this.findIncarnation(from)) {
      this.opts.onSuperseded(epoch);
    }
  }

  private reset(): void {
    this.epoch = 0;
    this.orphans.clear();
    this.retained.clear();
    this.uncommitted.clear();
    this.inherited.clear();
    for (const worker of this.opts.registry.list()) {
      for (const id of [...worker.attempts.keys()]) worker.release(id);
      worker.inherited.clear();
      worker.unansweredSince = undefined;
    }
  }

  private inherit(attempt: RunningAttempt, now: number): void {
    const worker = this.opts.registry.get(attempt.worker);
    if (worker?.incarnation === attempt.incarnation) {
      worker.occupy(attempt);
    } else {
      this.orphans.add(attempt, now + WorkerRegistry.MAX_PREDECESSOR_LEASE_MS);
    }
  }

  /**
   * Handles the announcement of another incarnation. Announcements may arrive
   * out of order, so sent attempts end only when the new incarnation replies or
   * the lease of the earlier one expires.
   */
  private orphanAttempts(replaced: WorkerState): void {
    this.retained.removeWorker(replaced.id);
    replaced.inherited.clear();
    for (const attempt of [...replaced.attempts.values()]) {
      if (attempt.phase === 'proposed') {
        const reason = 'the worker restarted before the start was sent';
        this.end(replaced, attempt.id, {kind: 'never_started', reason});
      } else {
        replaced.release(attempt.id);
        this.orphans.add(attempt, replaced.leaseExpiresAt);
      }
    }
  }

  private handleLateReports(
    {worker, incarnation}: WorkerTarget,
    reports: readonly AttemptReport[],
  ): void {
    for (const report of reports) {
      if (report.state === 'running') continue;
      const {id} = report;
      const attempt = this.orphans.takeReported(worker, incarnation, id);
      if (attempt) this.ended(attempt, toAttemptOutcome(report));
    }
  }

  private endOrphans(orphans: readonly RunningAttempt[], reason: string): void {
    for (const attempt of orphans) {
      this.ended(attempt, lostWorkerOutcome(reason, attempt.worker));
    }
  }

  /** Handles the end of an inherited attempt, which has no active job. */
  private priorEnded(worker: WorkerState, id: string): void {
    if (!this.uncommitted.has(id)) this.retained.addDiscardable(worker.id, id);
  }

  private expireLeases(now: number): void {
    const expired = this.opts.registry.expire(now);
    for (const worker of expired) {
      this.retained.removeWorker(worker.id);
      this.endAll(worker, "the worker's lease expired");
    }
    if (expired.length > 0) this.opts.onCapacity();
  }

  private fence(worker: WorkerState, now: number): void {
    worker.lastQueriedAt = now;
    worker.unansweredSince ??= now;
    const inherited = [...worker.attempts.keys()];
    this.opts.upstream.fence(toTarget(worker), this.epoch, inherited);
  }

  private poll(worker: WorkerState, now: number): void {
    if (worker.fencedEpoch !== this.epoch) {
      if (now - worker.lastQueriedAt >= FENCE_RETRY_MS) this.fence(worker, now);
      return;
    }
    const isDue = now - worker.lastQueriedAt >= POLL_INTERVAL_MS;
    const polled: string[] = isDue ? [...worker.inherited] : [];
    for (const {id, since, phase} of worker.attempts.values()) {
      const isOverdue = isDue && now - since >= POLL_AFTER_MS;
      const isPolled = isOverdue || this.inherited.has(id);
      if (phase === 'sent' && isPolled) polled.push(id);
    }
    if (!isDue && polled.length === 0) return;
    const forget = this.retained.getDiscardable(worker.id, now);
    if (polled.length === 0 && forget.length === 0) return;
    worker.lastQueriedAt = now;
    worker.unansweredSince ??= now;
    this.opts.upstream.settle(toTarget(worker), this.epoch, polled, forget);
  }

  private endAll(worker: WorkerState, reason: string): void {
    worker.inherited.clear();
    for (const attempt of [...worker.attempts.values()]) {
      // The start of a proposed attempt was not sent, so it cannot have run.
      const outcome: AttemptOutcome =
        attempt.phase === 'proposed'
          ? {kind: 'never_started', reason}
          : lostWorkerOutcome(reason, worker.id);
      this.end(worker, attempt.id, outcome);
    }
  }

  private end(worker: WorkerState, id: string, outcome: AttemptOutcome): void {
    const attempt = worker.release(id);
    if (attempt) this.ended(attempt, outcome);
  }

  private ended(attempt: RunningAttempt, outcome: AttemptOutcome): void {
    this.inherited.delete(attempt.id);
    this.uncommitted.add(attempt.id);
    this.opts.onEnded(attempt, outcome);
  }

  private isUnresponsive(
    {worker: id, incarnation}: WorkerAnnouncement,
    now: number,
  ): boolean {
    const worker = this.opts.registry.get(id);
    if (worker?.incarnation !== incarnation) return false;
    const {unansweredSince = now, attempts} = worker;
    return attempts.size > 0 && now - unansweredSince > UNRESPONSIVE_AFTER_MS;
  }

  private findIncarnation(from: WorkerTarget): WorkerState | undefined {
    const worker = this.opts.registry.get(from.worker);
    return worker?.incarnation === from.incarnation ? worker : undefined;
  }
}
