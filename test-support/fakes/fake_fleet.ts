import type {Clock} from '../../src/core/clock/clock.js';
import type {AttemptReport} from '../../src/core/upstream/attempt_report.js';
import type {AttemptStart} from '../../src/core/upstream/attempt_start.js';
import {UpstreamClient} from '../../src/core/upstream/upstream_client.js';
import type {WorkerTarget} from '../../src/core/upstream/worker_target.js';
import type {WorkerAnnouncement} from '../../src/core/worker/worker_announcement.js';
import {FakeWorker} from './fake_worker.js';

/** Longer than the retry interval of a fence, shorter than a lease. */
const REPEAT_AFTER_MS = 700;

interface FakeFleetOptions {
  readonly clock: Clock;
  /** One-way delay of a message. Default 0.5 ms. */
  readonly delayMs?: number | undefined;
  /** Workers shared with the fleets of other dispatchers. Default: none. */
  readonly workers?: Map<string, FakeWorker>;
}

/** Number of messages sent to workers, by kind. */
interface MessageCounts {
  start: number;
  stop: number;
  settle: number;
  fence: number;
}

/** Upstream client that delivers messages to in-memory workers. */
export class FakeFleet extends UpstreamClient {
  readonly workers: Map<string, FakeWorker>;
  readonly sent: MessageCounts = {start: 0, stop: 0, settle: 0, fence: 0};
  private readonly clock: Clock;
  private readonly delayMs: number;

  constructor({clock, delayMs = 0.5, workers}: FakeFleetOptions) {
    super();
    this.workers = workers ?? new Map();
    this.clock = clock;
    this.delayMs = delayMs;
  }

  add(announcement: WorkerAnnouncement): FakeWorker {
    const worker = new FakeWorker(announcement, this.clock);
    this.workers.set(announcement.worker, worker);
    return worker;
  }

  override start(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): void {
    this.sent.start += 1;
    const sentAt = this.clock.now();
    const act = (worker: FakeWorker) => {
      for (const attempt of attempts) {
        worker.sentAt.set(attempt.id, sentAt);
        worker.start(attempt, report => this.report(target, [report]));
      }
    };
    const extraMs = this.workers.get(target.worker)?.startDelayMs ?? 0;
    this.deliver(target, epoch, act, extraMs);
  }

  override stop(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void {
    this.sent.stop += 1;
    this.deliver(target, epoch, worker => {
      for (const id of attempts) worker.stop(id);
    });
  }

  override settle(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void {
    this.sent.settle += 1;
    this.deliver(target, epoch, worker => {
      for (const id of forget) worker.forget(id);
      const reports = worker.settle(attempts);
      this.answer(worker, () => {
        this.listener?.reported(target, reports);
        this.listener?.forgotten(target, forget);
      });
    });
  }

  override fence(target: WorkerTarget, epoch: number): void {
    this.sent.fence += 1;
    this.deliver(target, epoch, worker => {
      const known = worker.known();
      this.answer(worker, () => this.listener?.fenced(target, epoch, known));
    });
  }

  private deliver(
    target: WorkerTarget,
    epoch: number,
    act: (worker: FakeWorker) => void,
    extraMs = 0,
  ): void {
    this.clock.schedule(this.delayMs + extraMs, () => {
      const worker = this.workers.get(target.worker);
      if (!worker || worker.isDead || worker.isCut || worker.dropsInput) return;
      const {incarnation} = worker.announcement;
      if (incarnation !== target.incarnation) {
        this.answer(worker, () => this.listener?.replaced(target, incarnation));
        return;
      }
      if (epoch < worker.epoch && worker.rules.fences !== false) {
        const higher = worker.epoch;
        this.answer(worker, () => this.listener?.superseded(target, higher));
        return;
      }
      worker.epoch = Math.max(epoch, worker.epoch);
      act(worker);
    });
  }

  private report(
    target: WorkerTarget,
    reports: readonly AttemptReport[],
  ): void {
    const worker = this.workers.get(target.worker);
    if (!worker) return;
    this.answer(worker, () => this.listener?.reported(target, reports));
  }

  private answer(worker: FakeWorker, act: () => void): void {
    const arrive = () => {
      if (!worker.isDead && !worker.isCut && !worker.dropsOutput) act();
    };
    this.clock.schedule(this.delayMs + worker.reportDelayMs, arrive);
    if (worker.duplicatesReports) {
      this.clock.schedule(this.delayMs + REPEAT_AFTER_MS, arrive);
    }
  }
}
