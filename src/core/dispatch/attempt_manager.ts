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
import {ForgetList} from './forget_list.js';
import {lostOutcome} from './lost_outcome.js';
import {LostAttempts} from './lost_attempts.js';
import {outcomeOf} from './outcome_of.js';
import {targetOf} from './target_of.js';

/** Age from which the worker is asked about an attempt. Most tasks end sooner. */
const ASK_AFTER_MS = 1_000;
const ASK_INTERVAL_MS = 1_000;
const FENCE_RETRY_MS = 250;
/** A worker without answers for this long gets no new lease; its tasks end. */
const UNANSWERED_MS = 5_000;

type Settled = Extract<JobEvent, {kind: 'settled'}>;

/**
 * Owns the attempts that hold slots: sends starts and stops, fences workers,
 * and settles by asking whatever gets no answer.
 */
export class AttemptManager implements UpstreamListener {
  private epoch = 0;
  /**
   * Attempts of an earlier dispatcher. Their workers report to its connection,
   * so they are asked about at every tick until they end.
   */
  private readonly inherited = new Set<string>();
  private readonly lost = new LostAttempts();
  private readonly forgettable = new ForgetList();
  /**
   * Attempts that ended here but whose outcome is not committed. A successor
   * would ask about them, so their workers must not forget them.
   */
  private readonly uncommitted = new Set<string>();

  constructor(private readonly opts: AttemptManagerOptions) {
    opts.upstream.listen(this);
  }

  /** Starts an epoch: every worker is fenced before its first start. */
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

  /** Stops acting; the successor settles what runs. */
  follow(): void {
    this.reset();
  }

  /** Takes a worker's announcement; false if a newer one overtook it. */
  announce(announcement: WorkerAnnouncement, now: number): boolean {
    const {registry} = this.opts;
    if (this.isUnanswering(announcement, now)) return false;
    const {accepted, replaced} = registry.announce(announcement, now);
    if (!accepted || this.epoch === 0) return accepted;
    if (replaced) this.lose(replaced);
    const worker = registry.get(announcement.worker)!;
    for (const attempt of this.lost.takeFound(worker.id, worker.incarnation)) {
      worker.occupy(attempt);
    }
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
    this.opts.upstream.start(targetOf(worker), this.epoch, starts);
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
      if (worker) this.opts.upstream.stop(targetOf(worker), this.epoch, ids);
    }
  }

  /** Ends an attempt that was placed but never sent. */
  withdraw(attempt: RunningAttempt, reason: string): void {
    const worker = this.opts.registry.get(attempt.worker);
    if (worker) this.end(worker, attempt.id, {kind: 'never_started', reason});
  }

  /** The outcome of the attempt is committed; its worker may drop it. */
  forget({worker, attempt, outcome}: Settled, now: number): void {
    this.uncommitted.delete(attempt);
    if (!this.opts.registry.get(worker)) return;
    if (outcome.kind === 'never_started') {
      this.forgettable.addTombstone(worker, attempt, now);
    } else {
      this.forgettable.add(worker, attempt);
    }
  }

  tick(now: number): void {
    if (this.epoch === 0) return;
    this.expireLeases(now);
    this.endLost(this.lost.takeOver(now), 'the worker is lost');
    for (const worker of this.opts.registry.list()) this.ask(worker, now);
  }

  reported(from: WorkerTarget, reports: readonly AttemptReport[]): void {
    const worker = this.matching(from);
    if (!worker) {
      this.reportedLate(from, reports);
      return;
    }
    worker.unansweredSince = undefined;
    const stillRunning: string[] = [];
    for (const report of reports) {
      const attempt = worker.attempts.get(report.id);
      if (report.state !== 'running') {
        if (worker.inherited.has(report.id)) this.endForeign(worker, report.id);
        this.end(worker, report.id, outcomeOf(report));
      } else if (attempt?.stopping) {
        stillRunning.push(report.id);
      }
    }
    if (stillRunning.length > 0) {
      this.opts.upstream.stop(targetOf(worker), this.epoch, stillRunning);
    }
  }

  fenced(
    from: WorkerTarget,
    epoch: number,
    known: readonly AttemptReport[],
  ): void {
    const worker = this.matching(from);
    if (!worker || epoch !== this.epoch) return;
    worker.unansweredSince = undefined;
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
      if (report.state === 'running') worker.inherited.add(report.id);
      else this.endForeign(worker, report.id);
    }
    const replaced = this.lost.takeReplaced(worker.id, worker.incarnation);
    this.endLost(replaced, 'the worker restarted');
    this.reported(from, known);
    this.opts.onCapacity();
  }

  forgotten(from: WorkerTarget, attempts: readonly string[]): void {
    const worker = this.matching(from);
    if (worker) this.forgettable.confirm(worker.id, attempts);
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

  private reset(): void {
    this.epoch = 0;
    this.lost.clear();
    this.forgettable.clear();
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
      this.lost.add(attempt, now + WorkerRegistry.MAX_PREDECESSOR_LEASE_MS);
    }
  }

  /**
   * Another incarnation has announced itself. Announcements may be overtaken
   * on their way, so the attempts are over only when the new incarnation
   * answers or the lease of the earlier one has ended.
   */
  private lose(replaced: WorkerState): void {
    this.forgettable.drop(replaced.id);
    replaced.inherited.clear();
    for (const attempt of [...replaced.attempts.values()]) {
      if (attempt.phase === 'proposed') {
        const reason = 'the worker restarted before the start';
        this.end(replaced, attempt.id, {kind: 'never_started', reason});
      } else {
        replaced.release(attempt.id);
        this.lost.add(attempt, replaced.leaseExpiresAt);
      }
    }
  }

  private reportedLate(
    {worker, incarnation}: WorkerTarget,
    reports: readonly AttemptReport[],
  ): void {
    for (const report of reports) {
      if (report.state === 'running') continue;
      const {id} = report;
      const attempt = this.lost.takeReported(worker, incarnation, id);
      if (attempt) this.ended(attempt, outcomeOf(report));
    }
  }

  private endLost(lost: readonly RunningAttempt[], reason: string): void {
    for (const attempt of lost) {
      this.ended(attempt, lostOutcome(reason, attempt.worker));
    }
  }

  /** An attempt that no open job waits for is over. */
  private endForeign(worker: WorkerState, id: string): void {
    if (!this.uncommitted.has(id)) this.forgettable.add(worker.id, id);
  }

  private expireLeases(now: number): void {
    const expired = this.opts.registry.expire(now);
    for (const worker of expired) {
      this.forgettable.drop(worker.id);
      this.endAll(worker, "the worker's lease expired");
    }
    if (expired.length > 0) this.opts.onCapacity();
  }

  private fence(worker: WorkerState, now: number): void {
    worker.lastQueriedAt = now;
    worker.unansweredSince ??= now;
    const inherited = [...worker.attempts.keys()];
    this.opts.upstream.fence(targetOf(worker), this.epoch, inherited);
  }

  private ask(worker: WorkerState, now: number): void {
    if (worker.fencedEpoch !== this.epoch) {
      if (now - worker.lastQueriedAt >= FENCE_RETRY_MS) this.fence(worker, now);
      return;
    }
    const isDue = now - worker.lastQueriedAt >= ASK_INTERVAL_MS;
    const overdue: string[] = isDue ? [...worker.inherited] : [];
    for (const {id, since, phase} of worker.attempts.values()) {
      const isOverdue = isDue && now - since >= ASK_AFTER_MS;
      const isAsked = isOverdue || this.inherited.has(id);
      if (phase === 'sent' && isAsked) overdue.push(id);
    }
    if (!isDue && overdue.length === 0) return;
    const forget = this.forgettable.due(worker.id, now);
    if (overdue.length === 0 && forget.length === 0) return;
    worker.lastQueriedAt = now;
    worker.unansweredSince ??= now;
    this.opts.upstream.settle(targetOf(worker), this.epoch, overdue, forget);
  }

  private endAll(worker: WorkerState, reason: string): void {
    worker.inherited.clear();
    for (const attempt of [...worker.attempts.values()]) {
      // Nothing was sent for a proposed attempt, so nothing can have run.
      const outcome: AttemptOutcome =
        attempt.phase === 'proposed'
          ? {kind: 'never_started', reason}
          : lostOutcome(reason, worker.id);
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

  private isUnanswering(
    {worker: id, incarnation}: WorkerAnnouncement,
    now: number,
  ): boolean {
    const worker = this.opts.registry.get(id);
    if (worker?.incarnation !== incarnation) return false;
    const {unansweredSince = now, attempts} = worker;
    return attempts.size > 0 && now - unansweredSince > UNANSWERED_MS;
  }

  private matching(from: WorkerTarget): WorkerState | undefined {
    const worker = this.opts.registry.get(from.worker);
    return worker?.incarnation === from.incarnation ? worker : undefined;
  }
}
