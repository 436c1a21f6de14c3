import {Result} from 'true-myth';
import type {Clock} from '../clock/clock.js';
import type {ConfigSource} from '../config/config_source.js';
import type {Replicator} from '../group/replicator.js';
import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {JobEvent} from '../job/job_event.js';
import type {JobKey} from '../job/job_key.js';
import type {JobSpec} from '../job/job_spec.js';
import type {JobTable} from '../job/job_table.js';
import type {Refusal} from '../job/refusal.js';
import {RunOutcome} from '../job/run_outcome.js';
import type {RetryPolicy} from '../retry/retry_policy.js';
import type {AttemptStart} from '../upstream/attempt_start.js';
import type {UpstreamClient} from '../upstream/upstream_client.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerAnnouncement} from '../worker/worker_announcement.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';
import {ActiveJob} from './active_job.js';
import {AttemptManager} from './attempt_manager.js';
import type {DispatchPolicy} from './dispatch_policy.js';
import {resumeJob} from './resume_job.js';
import {SubmissionGate} from './submission_gate.js';
import {TaskAssigner} from './task_assigner.js';

type Intent = Extract<JobEvent, {kind: 'intent'}>;

interface DispatcherOptions {
  readonly table: JobTable;
  readonly replicator: Replicator;
  readonly registry: WorkerRegistry;
  readonly policy: DispatchPolicy;
  readonly retry: RetryPolicy;
  readonly config: ConfigSource;
  readonly upstream: UpstreamClient;
  /** Tells when a worker's report came; reports carry no time. */
  readonly clock: Pick<Clock, 'now'>;
  /** Called on the leader when a job's final state is committed. */
  readonly onFinished: (key: string) => void;
  /** Asks the owner of the loop to call `flush` once, soon. */
  readonly requestFlush: () => void;
}

/**
 * Runs the queue of one zone while its node leads the zone's group. Every
 * change is proposed to the group; what leaves the process (starts, answers)
 * waits for the commit.
 */
export class Dispatcher {
  private readonly attempts: AttemptManager;
  private readonly gate: SubmissionGate;
  private readonly assigner: TaskAssigner;
  private readonly active = new Map<string, ActiveJob>();
  /** Events of this turn, proposed together by `flush`. */
  private outbox: JobEvent[] = [];
  private now = 0;

  constructor(private readonly opts: DispatcherOptions) {
    this.gate = new SubmissionGate(opts);
    this.assigner = new TaskAssigner(opts, this.active);
    this.attempts = new AttemptManager({
      registry: opts.registry,
      upstream: opts.upstream,
      onEnded: (attempt, outcome) => this.attemptEnded(attempt, outcome),
      onCapacity: () => opts.requestFlush(),
      onSuperseded: () => opts.requestFlush(),
    });
    opts.replicator.listen({
      committed: (events, now) => this.committed(events, now),
      leadership: (epoch, now) => this.leadershipChanged(epoch, now),
    });
  }

  get isLeading(): boolean {
    return this.opts.replicator.leading !== undefined;
  }

  /** Tasks that wait for a slot. */
  get queued(): number {
    return this.opts.policy.queued;
  }

  /** Whether the dispatcher still has work of this job in hand. */
  isActive(key: string): boolean {
    return this.active.has(key);
  }

  /**
   * Takes a job, or joins the submission that came first under its key. The
   * job is accepted when its record appears in the JobTable.
   */
  submit(key: JobKey, spec: JobSpec, now: number): Result<void, Refusal> {
    this.now = now;
    const epoch = this.opts.replicator.leading;
    if (epoch === undefined) return Result.err(NOT_LEADER);
    const known =
      this.active.get(spec.key)?.spec ?? this.opts.table.get(spec.key)?.spec;
    if (known) return this.gate.join(known, spec);
    const decision = this.gate.admit(
      key,
      spec,
      this.assigner.fleet(epoch, now),
      now,
    );
    if (decision.isErr) return Result.err(decision.error);
    const job = new ActiveJob(spec, decision.value);
    this.active.set(spec.key, job);
    this.outbox.push({kind: 'accepted', job: spec});
    spec.tasks.forEach((_, index) => this.enqueue(job, index));
    this.opts.requestFlush();
    return Result.ok(undefined);
  }

  /**
   * Cancels a job. A job not seen yet is recorded as cancelled, so that a
   * submission that the cancel overtook does not start.
   */
  cancel(key: JobKey, now: number): Result<void, Refusal> {
    this.now = now;
    if (!this.isLeading) return Result.err(NOT_LEADER);
    const job = this.active.get(key.text);
    const record = this.opts.table.get(key.text);
    if (!job && !record) {
      const known = this.gate.checkAge(key, now);
      if (known.isErr) return known;
      this.outbox.push({kind: 'accepted', job: this.gate.tombstone(key, now)});
    }
    if (!record || record.status === 'running') {
      this.outbox.push({kind: 'cancelled', key: key.text, at: now});
    }
    if (job) this.endJob(job);
    this.opts.requestFlush();
    return Result.ok(undefined);
  }

  /** The caller has the answer; its results need not be kept for it. */
  acknowledge(key: string): void {
    if (!this.isLeading || !this.opts.table.get(key)) return;
    this.outbox.push({kind: 'acknowledged', key});
    this.opts.requestFlush();
  }

  announce(announcement: WorkerAnnouncement, now: number): boolean {
    this.now = now;
    return this.attempts.announce(announcement, now);
  }

  /** Places waiting tasks and proposes the turn's events in one batch. */
  flush(now: number): void {
    this.now = now;
    if (!this.isLeading) return;
    this.assign(now);
    if (this.outbox.length === 0) return;
    const events = this.outbox;
    this.outbox = [];
    this.opts.replicator.propose(events, now);
  }

  /** Settles what is overdue and drops what is past its retention. */
  tick(now: number): void {
    this.now = now;
    if (!this.isLeading) return;
    this.attempts.tick(now);
    const keys = this.gate.expiredKeys(now, key => this.active.has(key));
    if (keys.length > 0) this.outbox.push({kind: 'expired', keys});
    this.flush(now);
  }

  private assign(now: number): void {
    const epoch = this.opts.replicator.leading ?? 0;
    for (const attempt of this.assigner.assign(epoch, now)) {
      this.outbox.push(intentOf(attempt));
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
    const retry = !job.ended && this.shouldRetry(job, attempt, outcome);
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
      this.enqueue(job, attempt.task, attempt.worker);
    } else if (outcome.kind !== 'succeeded') {
      this.endJob(job);
    }
    if (job.isIdle) this.active.delete(attempt.key);
    this.opts.requestFlush();
  }

  private shouldRetry(
    job: ActiveJob,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
  ): boolean {
    const {className} = attempt;
    const ran = outcome.kind !== 'never_started';
    if (ran) this.opts.retry.recordStart(className);
    return this.opts.retry.shouldRetry({
      className,
      outcome,
      repeatable: job.isRepeatable,
      started: ran ? job.countStart(attempt.task) : 0,
    });
  }

  /** Drops the queued tasks of a job and stops its running ones. */
  private endJob(job: ActiveJob): void {
    if (job.ended) return;
    job.ended = true;
    for (const task of job.queued.values()) {
      task.removed = true;
      this.opts.policy.discarded(task);
    }
    job.queued.clear();
    this.attempts.stop(job.attempts.values());
    if (job.isIdle) this.active.delete(job.spec.key);
  }

  private committed(events: readonly JobEvent[], now: number): void {
    this.now = now;
    const starts = new Map<string, RunningAttempt[]>();
    for (const event of events) {
      this.opts.table.apply(event);
      if (this.isLeading) this.act(event, starts);
    }
    for (const [id, attempts] of starts) this.send(id, attempts, now);
  }

  /** Does what a committed event allows. */
  private act(event: JobEvent, starts: Map<string, RunningAttempt[]>): void {
    switch (event.kind) {
      case 'intent':
        this.intentCommitted(event, starts);
        return;
      case 'settled':
        this.attempts.forget(event.worker, event.attempt);
        this.notifyIfFinished(event.key);
        return;
      case 'cancelled':
      case 'failed':
        this.notifyIfFinished(event.key);
        return;
    }
  }

  private intentCommitted(
    event: Intent,
    starts: Map<string, RunningAttempt[]>,
  ): void {
    const job = this.active.get(event.key);
    const attempt = job?.attempts.get(event.attempt);
    if (!job || !attempt) return;
    if (job.ended) {
      this.attempts.withdraw(attempt, 'the job ended before the start');
      return;
    }
    const batch = starts.get(event.worker) ?? [];
    batch.push(attempt);
    starts.set(event.worker, batch);
  }

  private send(id: string, attempts: RunningAttempt[], now: number): void {
    const worker = this.opts.registry.get(id);
    if (!worker) return;
    const starts = attempts.map(attempt => this.startOf(attempt));
    this.attempts.start(worker, attempts, starts, now);
  }

  private startOf(attempt: RunningAttempt): AttemptStart {
    const spec = this.active.get(attempt.key)?.spec;
    return {
      id: attempt.id,
      key: attempt.key,
      task: attempt.task,
      class: attempt.className,
      payload: spec?.tasks[attempt.task]?.payload,
    };
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
    if (epoch === undefined) {
      this.attempts.follow();
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

const NOT_LEADER: Refusal = {
  code: 'not_leader',
  outcome: RunOutcome.unknown,
  detail: 'this node does not lead the zone',
};

function intentOf(attempt: RunningAttempt): JobEvent {
  const {key, task, worker, incarnation} = attempt;
  return {kind: 'intent', key, task, attempt: attempt.id, worker, incarnation};
}
