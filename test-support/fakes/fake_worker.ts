import type {Cancellable} from '../../src/core/clock/cancellable.js';
import type {Clock} from '../../src/core/clock/clock.js';
import type {AttemptReport} from '../../src/core/upstream/attempt_report.js';
import type {AttemptStart} from '../../src/core/upstream/attempt_start.js';
import type {WorkerAnnouncement} from '../../src/core/worker/worker_announcement.js';

interface KnownAttempt {
  report: AttemptReport;
  timer: Cancellable | undefined;
  done: ((report: AttemptReport) => void) | undefined;
}

/** How a fake worker runs a task; read from the task's payload. */
interface FakePayload {
  readonly ms?: number;
  readonly fail?: boolean;
  readonly value?: unknown;
}

interface StartRecord {
  readonly at: number;
  readonly start: AttemptStart;
}

/** Sees every start and end, for the recording of histories. */
interface WorkerObserver {
  started(worker: FakeWorker, start: AttemptStart): void;
  /** Also called when the process dies while a task runs. */
  ended(worker: FakeWorker, report: AttemptReport): void;
}

/** Rules of the protocol that a test may switch off in a worker. */
interface WorkerRules {
  /** Default true: lower epochs are refused. */
  readonly fences?: boolean;
  /** Default true: an attempt that was asked for and unknown never starts. */
  readonly keepsTombstones?: boolean;
  /** Default true: a lapsed lease stops the tasks and renews the incarnation. */
  readonly obeysLease?: boolean;
}

/** One in-memory worker that keeps the worker's side of the protocol. */
export class FakeWorker {
  /** Every start, in order, for checks of histories. */
  readonly starts: StartRecord[] = [];
  epoch = 0;
  /** True: the process is gone; nothing runs and nothing answers. */
  isDead = false;
  /** True: messages in both directions are lost; tasks go on. */
  isCut = false;
  /** True: every start fails at once. */
  isFailing = false;
  /** True: requests to the worker are lost, its messages arrive. */
  dropsRequests = false;
  /** True: requests arrive, answers and announcements are lost. */
  dropsReplies = false;
  /** True: every start is refused. */
  isRefusing = false;
  /** Added to the way of each start, as over a slow second connection. */
  startDelayMs = 0;
  /** Added to the way of each report. */
  reportDelayMs = 0;
  /** True: every report arrives a second time, later. */
  duplicatesReports = false;
  /** Factor on the run time of each task. */
  runTimeFactor = 1;
  /** When each start was sent, for checks of histories. */
  readonly sentAt = new Map<string, number>();
  observer: WorkerObserver | undefined;
  rules: WorkerRules = {};
  /** Epoch milliseconds; a worker without grants in a test never lapses. */
  leaseExpiresAt = Infinity;
  private lapse: Cancellable | undefined;
  private lapses = 0;
  private attempts = new Map<string, KnownAttempt>();

  constructor(
    public announcement: WorkerAnnouncement,
    private readonly clock: Clock,
  ) {}

  /** The next announcement, as sent at an interval. */
  nextAnnouncement(): WorkerAnnouncement {
    const {announcement, epoch} = this;
    const sequence = announcement.sequence + 1;
    this.announcement = {...announcement, sequence, epoch};
    return this.announcement;
  }

  /**
   * Takes a lease that counts from the sending of the announcement. A grant of
   * an epoch below the worker's own is void.
   */
  renewLease(incarnation: string, epoch: number, expiresAt: number): void {
    if (this.isDead || incarnation !== this.announcement.incarnation) return;
    if (epoch < this.epoch || this.rules.obeysLease === false) return;
    const isLonger = !(expiresAt <= this.leaseExpiresAt);
    if (!isLonger && this.leaseExpiresAt !== Infinity) return;
    this.leaseExpiresAt = expiresAt;
    this.lapse?.cancel();
    const delay = expiresAt - this.clock.now();
    this.lapse = this.clock.schedule(delay, () => this.leaseLapsed());
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
    const payload = (start.payload ?? {}) as FakePayload;
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

  /** States of attempts; an unknown one never starts from here on. */
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

  /** Ends everything that runs, as at the end of the lease. */
  stopAll(): void {
    for (const id of this.attempts.keys()) this.end(id, {id, state: 'stopped'});
  }

  /** Starts anew without memory, under another incarnation. */
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
   * Stops everything and goes on as a new incarnation, so that a start which
   * was sent under the old lease is refused however late it comes.
   */
  private leaseLapsed(): void {
    if (this.isDead) return;
    this.lapses += 1;
    const base = this.announcement.incarnation.replace(/\+\d+$/, '');
    const {epoch} = this;
    this.restart(`${base}+${this.lapses}`);
    this.epoch = epoch;
    this.leaseExpiresAt = 0;
  }

  private dropAttempts(): void {
    this.lapse?.cancel();
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
