import {Result} from 'true-myth';
import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {JobEvent} from '../job/job_event.js';
import type {JobKey} from '../job/job_key.js';
import type {JobSpec} from '../job/job_spec.js';
import type {Refusal} from '../job/refusal.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerAnnouncement} from '../worker/worker_announcement.js';
import {ActiveJob} from './active_job.js';
import {AttemptManager} from './attempt_manager.js';
import {CommitBarrier} from './commit_barrier.js';
import {countLentSlots} from './count_lent_slots.js';
import type {DispatcherOptions} from './dispatcher_options.js';
import {NOT_LEADER} from './not_leader.js';
import {resumeJob} from './resume_job.js';
import {StartSender} from './start_sender.js';
import {SubmissionGate} from './submission_gate.js';
import {TaskAssigner} from './task_assigner.js';
import {TaskRetrier} from './task_retrier.js';
import {toIntentEvent} from './to_intent_event.js';

type Intent = Extract<JobEvent, {kind: 'intent'}>;

/**
 * Manages the job queue of one zone while its node leads the replication group
 * of the zone. Each change is proposed to the group as an event; starts and
 * answers are sent only after the commit.
 */
export class Dispatcher {
  private readonly attempts: AttemptManager;
  private readonly starts: StartSender;
  private readonly gate: SubmissionGate;
  private readonly assigner: TaskAssigner;
  private readonly active = new Map<string, ActiveJob>();
  /** Jobs whose `accepted` event is not committed yet, by key. */
  private readonly proposed = new Map<string, JobSpec>();
  private readonly retrier: TaskRetrier;
  private readonly barrier = new CommitBarrier();
  /** Events of this event-loop turn; `flush` proposes them in one batch. */
  private outbox: JobEvent[] = [];
  private now = 0;

  constructor(private readonly opts: DispatcherOptions) {
    this.gate = new SubmissionGate(opts);
    this.assigner = new TaskAssigner(opts, this.active);
    this.retrier = new TaskRetrier({
      retry: opts.retry,
      enqueue: (job, index, avoid) => this.enqueue(job, index, avoid),
    });
    this.attempts = new AttemptManager({
      registry: opts.registry,
      upstream: opts.upstream,
      onEnded: (attempt, outcome) => this.attemptEnded(attempt, outcome),
      onCapacity: () => opts.requestFlush(),
      onSuperseded: epoch => opts.replicator.raiseEpochAbove(epoch, this.now),
    });
    this.starts = new StartSender(opts.registry, this.attempts);
    opts.replicator.listen({
      committed: (events, now) => this.committed(events, now),
      leadershipChanged: (epoch, now) => this.leadershipChanged(epoch, now),
    });
  }

  get isLeading(): boolean {
    return this.opts.replicator.leadingEpoch !== undefined;
  }

  /** Number of slots lent to other zones, by zone. */
  lentSlots(): ReadonlyMap<string, number> {
    return countLentSlots(this.active.values());
  }

  /** Number of jobs that have not ended or still have attempts to stop. */
  get activeJobs(): number {
    return this.active.size + this.proposed.size;
  }

  /** Number of tasks that wait for a slot. */
  get queued(): number {
    return this.opts.policy.queued;
  }

  /** Whether the job has unfinished work or its acceptance is uncommitted. */
  isActive(key: string): boolean {
    return this.active.has(key) || this.proposed.has(key);
  }

  /**
   * Submits a job. If its key is known, the submission joins the existing job.
   * The job is accepted once its record is in the {@link JobTable}.
   */
  submit(key: JobKey, spec: JobSpec, now: number): Result<void, Refusal> {
    this.now = now;
    const epoch = this.opts.replicator.leadingEpoch;
    if (epoch === undefined) return Result.err(NOT_LEADER);
    const known = this.knownSpec(spec.key);
    if (known) return this.gate.join(known, spec);
    const decision = this.gate.admit(
      key,
      spec,
      this.assigner.localFleet(epoch, now),
      now,
    );
    if (decision.isErr) {
      this.opts.observer?.refused(spec, decision.error);
      return Result.err(decision.error);
    }
    const job = new ActiveJob(spec, decision.value);
    this.active.set(spec.key, job);
    this.accept(spec);
    spec.tasks.forEach((_, index) => this.enqueue(job, index));
    this.opts.requestFlush();
    return Result.ok(undefined);
  }

  /**
   * Cancels a job. An unknown job is recorded as cancelled, so that it does not
   * start if its submission arrives after the cancellation.
   */
  cancel(key: JobKey, now: number): Result<void, Refusal> {
    this.now = now;
    if (!this.isLeading) return Result.err(NOT_LEADER);
    const job = this.active.get(key.text);
    const record = this.opts.table.get(key.text);
    if (!record && !this.proposed.has(key.text)) {
      const known = this.gate.checkAge(key, now);
      if (known.isErr) return known;
      this.accept(this.gate.createTombstone(key, now));
    }
    if (!record || record.status === 'running') {
      this.outbox.push({kind: 'cancelled', key: key.text, at: now});
    }
    if (job) this.endJob(job);
    this.opts.requestFlush();
    return Result.ok(undefined);
  }

  /** Allows the results of a job to be dropped after the caller got them. */
  acknowledge(key: string): void {
    if (!this.isLeading || !this.opts.table.get(key)) return;
    this.outbox.push({kind: 'acknowledged', key});
    this.opts.requestFlush();
  }

  /**
   * Confirms a refusal that says "not run" before it is sent. A deposed leader
   * does not know the jobs of the new one, so its refusals are invalid; and a
   * copy of the submission that was accepted during the confirmation makes this
   * one join the job.
   */
  confirmRefusal(
    spec: JobSpec,
    refusal: Refusal,
    done: (confirmed: Result<void, Refusal>) => void,
  ): void {
    const event = this.barrier.add(isConfirmed => {
      if (!isConfirmed) return done(Result.err(NOT_LEADER));
      const known = this.knownSpec(spec.key);
      done(known ? this.gate.join(known, spec) : Result.err(refusal));
    });
    if (event) this.outbox.push(event);
    if (this.isLeading) this.opts.requestFlush();
    else this.barrier.fail();
  }

  /** Handles a worker's announcement; returns false if it is refused. */
  announce(announcement: WorkerAnnouncement, now: number): boolean {
    this.now = now;
    return this.attempts.announce(announcement, now);
  }

  /** Assigns queued tasks and proposes the collected events in one batch. */
  flush(now: number): void {
    this.now = now;
    if (!this.isLeading) return;
    this.assign(now);
    if (this.outbox.length === 0) return;
    const events = this.outbox;
    this.outbox = [];
    this.barrier.close();
    this.opts.replicator.propose(events, now);
  }

  /** Handles timeouts, retries and the expiry of job records. */
  tick(now: number): void {
    this.now = now;
    if (!this.isLeading) return;
    this.attempts.tick(now);
    this.retrier.tick(now);
    for (const {job, reason} of this.gate.findStuckJobs(
      this.active.values(),
      now,
    )) {
      this.outbox.push({kind: 'failed', key: job.spec.key, reason, at: now});
      this.endJob(job);
    }
    const keys = this.gate.expiredKeys(now, key => this.active.has(key));
    if (keys.length > 0) this.outbox.push({kind: 'expired', keys});
    this.flush(now);
  }

  private knownSpec(key: string): JobSpec | undefined {
    return this.proposed.get(key) ?? this.opts.table.get(key)?.spec;
  }

  /**
   * Keeps the job in `proposed` until the commit: a job cancelled before that
   * may already be idle, but a resubmission must still find its key.
   */
  private accept(job: JobSpec): void {
    this.proposed.set(job.key, job);
    this.outbox.push({kind: 'accepted', job});
  }

  private assign(now: number): void {
    const epoch = this.opts.replicator.leadingEpoch ?? 0;
    for (const attempt of this.assigner.assign(epoch, now)) {
      this.outbox.push(toIntentEvent(attempt));
    }
  }

  private enqueue(job: ActiveJob, index: number, avoid?: string): void {
    this.opts.policy.enqueue(job.queueTask(index, avoid), this.now);
  }

  private attemptEnded(attempt: RunningAttempt, outcome: AttemptOutcome): void {
    this.now = this.opts.clock.now();
    this.opts.policy.ended(attempt, outcome, this.now);
    const job = this.active.get(attempt.key);
    if (!job) return;
    job.attempts.delete(attempt.id);
    const retry = !job.ended && this.retrier.shouldRetry(job, attempt, outcome);
    this.outbox.push({
      kind: 'settled',
      key: attempt.key,
      task: attempt.task,
      attempt: attempt.id,
      worker: attempt.worker,
      outcome,
      final: !retry,
      at: this.now,
    });
    if (retry) {
      this.retrier.retry(job, attempt, outcome, this.now);
    } else if (outcome.kind !== 'succeeded') {
      this.endJob(job);
    }
    if (job.isIdle) this.active.delete(attempt.key);
    this.opts.requestFlush();
  }

  /** Removes the queued tasks of a job and stops the running ones. */
  private endJob(job: ActiveJob): void {
    if (job.ended) return;
    job.ended = true;
    for (const task of job.queued.values()) {
      task.removed = true;
      this.opts.policy.removed(task);
    }
    job.queued.clear();
    job.inBackoff.clear();
    this.attempts.stop(job.attempts.values());
    if (job.isIdle) this.active.delete(job.spec.key);
  }

  private committed(events: readonly JobEvent[], now: number): void {
    this.now = now;
    for (const event of events) {
      const ended = this.opts.table.apply(event);
      if (!this.isLeading) continue;
      if (ended) this.opts.observer?.finished(ended, now);
      this.handleCommitted(event);
    }
    this.starts.send(this.opts.replicator.leadingEpoch, now);
  }

  /** Performs the actions that had to wait for the commit of an event. */
  private handleCommitted(event: JobEvent): void {
    switch (event.kind) {
      case 'accepted':
        this.proposed.delete(event.job.key);
        this.opts.onAccepted?.(event.job.key);
        return;
      case 'barrier':
        this.barrier.committed(event.id);
        return;
      case 'intent':
        this.intentCommitted(event);
        return;
      case 'settled':
        this.attempts.outcomeCommitted(event, this.now);
        this.notifyIfFinished(event.key);
        return;
      case 'cancelled':
      case 'failed':
        this.notifyIfFinished(event.key);
        return;
    }
  }

  private intentCommitted({key, attempt: id}: Intent): void {
    const job = this.active.get(key);
    const attempt = job?.attempts.get(id);
    if (!job || !attempt) return;
    if (job.ended) {
      this.attempts.withdraw(
        attempt,
        'the job ended before the start was sent',
      );
      return;
    }
    this.opts.observer?.started(job.spec, this.now - job.spec.submittedAt);
    this.starts.add(attempt, job.spec);
  }

  private notifyIfFinished(key: string): void {
    const record = this.opts.table.get(key);
    if (record && record.status !== 'running') this.opts.onFinished(key);
  }

  private leadershipChanged(epoch: number | undefined, now: number): void {
    this.now = now;
    this.outbox = [];
    this.opts.policy.reset();
    this.active.clear();
    this.proposed.clear();
    this.retrier.reset();
    this.barrier.fail();
    if (epoch === undefined) {
      this.attempts.follow();
      this.opts.onLeadershipLost?.();
      return;
    }
    const inherited: RunningAttempt[] = [];
    const {classes} = this.opts.config.current();
    for (const record of this.opts.table.records()) {
      const resumed = resumeJob(record, classes, now);
      if (!resumed) continue;
      this.active.set(record.spec.key, resumed.job);
      inherited.push(...resumed.job.attempts.values());
      for (const index of resumed.waiting) this.enqueue(resumed.job, index);
    }
    for (const attempt of inherited) this.opts.policy.started(attempt, now);
    this.attempts.lead(epoch, inherited, now);
    this.opts.requestFlush();
  }
}
