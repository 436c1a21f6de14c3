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
  /** Factor on the run time of each task. */
  slowness = 1;
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
    this.starts.push({at: this.clock.now(), start});
    const payload = (start.payload ?? {}) as FakePayload;
    const {id} = start;
    const fails = this.isFailing || payload.fail === true;
    const ms = this.isFailing ? 0 : (payload.ms ?? 0) * this.slowness;
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
    for (const {timer} of this.attempts.values()) timer?.cancel();
    this.attempts = new Map();
    this.epoch = 0;
    this.isDead = false;
    this.announcement = {...this.announcement, incarnation, sequence: 0};
  }

  kill(): void {
    for (const {timer} of this.attempts.values()) timer?.cancel();
    this.attempts = new Map();
    this.isDead = true;
  }

  private end(id: string, report: AttemptReport): void {
    const known = this.attempts.get(id);
    if (known?.report.state !== 'running') return;
    known.timer?.cancel();
    known.report = report;
    known.done?.(report);
  }
}
