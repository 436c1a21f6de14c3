import type {Cancellable} from '../../src/core/clock/cancellable.js';
import type {Clock} from '../../src/core/clock/clock.js';
import type {AttemptReport} from '../../src/core/upstream/attempt_report.js';
import type {AttemptStart} from '../../src/core/upstream/attempt_start.js';
import type {WorkerAnnouncement} from '../../src/core/worker/worker_announcement.js';

interface KnownAttempt {
  report: AttemptReport;
  timer: Cancellable | undefined;
  /** Sends the report of the ended attempt. */
  done: ((report: AttemptReport) => void) | undefined;
}

/** Task payload that controls how a fake worker runs the task. */
interface TaskPayload {
  /** Run time of the task, in ms. Default 0. */
  readonly ms?: number;
  readonly fail?: boolean;
  readonly value?: unknown;
}

interface StartRecord {
  readonly at: number;
  readonly start: AttemptStart;
}

/** Notified of every start and end, to record histories. */
interface WorkerObserver {
  started(worker: FakeWorker, start: AttemptStart): void;
  /** Also called when the process is killed while a task runs. */
  ended(worker: FakeWorker, report: AttemptReport): void;
}

/** Rules of the worker protocol that a test can disable. */
interface WorkerRules {
  /** Whether requests of lower epochs are refused. Default true. */
  readonly fences?: boolean;
  /**
   * Whether an attempt that was unknown when it was settled can no longer start.
   * Default true.
   */
  readonly keepsTombstones?: boolean;
  /**
   * Whether an expired lease stops all tasks and begins a new incarnation.
   * Default true.
   */
  readonly obeysLease?: boolean;
}

/** In-memory worker that implements the worker protocol. */
export class FakeWorker {
  /** Executed starts, in order. */
  readonly starts: StartRecord[] = [];
  epoch = 0;
  /** Whether the process was killed; no task runs and no request is served. */
  isDead = false;
  /** Whether messages in both directions are lost; tasks continue. */
  isCut = false;
  /** Whether every task fails immediately. */
  isFailing = false;
  /** Whether requests to the worker are lost; its own messages arrive. */
  dropsInput = false;
  /** Whether replies and announcements are lost; requests arrive. */
  dropsOutput = false;
  /** Whether every start is refused. */
  isRefusing = false;
  /** Added to the delay of each start, as on a second, slow connection. */
  startDelayMs = 0;
  /** Added to the delay of each report. */
  reportDelayMs = 0;
  /** Whether every report arrives a second time, later. */
  duplicatesReports = false;
  /** Factor applied to the run time of each task. */
  runTimeFactor = 1;
  /** Epoch milliseconds at which each start was sent, by attempt id. */
  readonly sentAt = new Map<string, number>();
  observer: WorkerObserver | undefined;
  rules: WorkerRules = {};
  /** Epoch milliseconds; Infinity until a lease is granted. */
  leaseExpiresAt = Infinity;
  private leaseTimer: Cancellable | undefined;
  private leaseExpirations = 0;
  private attempts = new Map<string, KnownAttempt>();

  constructor(
    public announcement: WorkerAnnouncement,
    private readonly clock: Clock,
  ) {}

  /** Returns the next of the periodic announcements. */
  nextAnnouncement(): WorkerAnnouncement {
    const {announcement, epoch} = this;
    const sequence = announcement.sequence + 1;
    this.announcement = {...announcement, sequence, epoch};
    return this.announcement;
  }

  /**
   * Applies the lease granted in reply to an announcement. The lease period
   * begins when the announcement is sent. A grant of a lower epoch is ignored.
   */
  renewLease(incarnation: string, epoch: number, expiresAt: number): void {
    if (this.isDead || incarnation !== this.announcement.incarnation) return;
    if (epoch < this.epoch || this.rules.obeysLease === false) return;
    const isLonger = !(expiresAt <= this.leaseExpiresAt);
    if (!isLonger && this.leaseExpiresAt !== Infinity) return;
    this.leaseExpiresAt = expiresAt;
    this.leaseTimer?.cancel();
    const delay = expiresAt - this.clock.now();
    this.leaseTimer = this.clock.schedule(delay, () => this.expireLease());
  }

  get running(): number {
    let count = 0;
    for (const {report} of this.attempts.values()) {
      if (report.state === 'running') count += 1;
    }
    return count;
  }

  start(start: AttemptStart, done: (report: AttemptReport) => void): void {
    const earlier = this.attempts.get(start.id);
    if (earlier) {
      if (earlier.report.state === 'running') earlier.done = done;
      else done(earlier.report);
      return;
    }
    if (this.isRefusing || this.clock.now() >= this.leaseExpiresAt) {
      done(this.settle([start.id])[0]!);
      return;
    }
    this.starts.push({at: this.clock.now(), start});
    this.observer?.started(this, start);
    const payload = (start.payload ?? {}) as TaskPayload;
    const {id} = start;
    const fails = this.isFailing || payload.fail === true;
    const ms = this.isFailing ? 0 : (payload.ms ?? 0) * this.runTimeFactor;
    const timer = this.clock.schedule(ms, () =>
      this.end(
        id,
        fails
          ? {id, state: 'failed', error: 'the task failed'}
          : {id, state: 'succeeded', result: payload.value ?? null},
      ),
    );
    this.attempts.set(id, {report: {id, state: 'running'}, timer, done});
  }

  stop(id: string): void {
    this.settle([id]);
    this.end(id, {id, state: 'stopped'});
  }

  /** Returns the states of attempts; an unknown one can no longer start. */
  settle(ids: readonly string[]): AttemptReport[] {
    return ids.map(id => {
      const known = this.attempts.get(id);
      if (known) return known.report;
      const reason = 'not received';
      const report = {id, state: 'never_started' as const, reason};
      if (this.rules.keepsTombstones === false) return report;
      this.attempts.set(id, {report, timer: undefined, done: undefined});
      return report;
    });
  }

  forget(id: string): void {
    this.attempts.delete(id);
  }

  known(): AttemptReport[] {
    return [...this.attempts.values()].map(({report}) => report);
  }

  /** Stops all running tasks, as on expiry of the lease. */
  stopAll(): void {
    for (const id of this.attempts.keys()) this.end(id, {id, state: 'stopped'});
  }

  /** Restarts the process without state, under a new incarnation. */
  restart(incarnation: string): void {
    this.dropAttempts();
    this.epoch = 0;
    this.leaseExpiresAt = Infinity;
    this.isDead = false;
    this.announcement = {...this.announcement, incarnation, sequence: 0};
  }

  kill(): void {
    this.dropAttempts();
    this.isDead = true;
  }

  /**
   * Stops all tasks and continues as a new incarnation. Delayed starts that were
   * sent under the expired lease are then refused.
   */
  private expireLease(): void {
    if (this.isDead) return;
    this.leaseExpirations += 1;
    const base = this.announcement.incarnation.replace(/\+\d+$/, '');
    const {epoch} = this;
    this.restart(`${base}+${this.leaseExpirations}`);
    this.epoch = epoch;
    this.leaseExpiresAt = 0;
  }

  private dropAttempts(): void {
    this.leaseTimer?.cancel();
    for (const [id, {timer, report}] of this.attempts) {
      timer?.cancel();
      if (report.state !== 'running') continue;
      this.observer?.ended(this, {id, state: 'stopped'});
    }
    this.attempts = new Map();
  }

  private end(id: string, report: AttemptReport): void {
    const known = this.attempts.get(id);
    if (known?.report.state !== 'running') return;
    known.timer?.cancel();
    known.report = report;
    this.observer?.ended(this, report);
    known.done?.(report);
  }
}
