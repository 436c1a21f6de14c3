import type {Clock} from '../../src/core/clock/clock.js';
import type {AttemptReport} from '../../src/core/upstream/attempt_report.js';
import type {AttemptStart} from '../../src/core/upstream/attempt_start.js';
import {UpstreamClient} from '../../src/core/upstream/upstream_client.js';
import type {WorkerTarget} from '../../src/core/upstream/worker_target.js';
import type {WorkerAnnouncement} from '../../src/core/worker/worker_announcement.js';
import {FakeWorker} from './fake_worker.js';

interface FakeFleetOptions {
  readonly clock: Clock;
  /** One-way delay of a message. Default 0.5 ms. */
  readonly delayMs?: number | undefined;
}

/** Messages sent to workers, by kind. */
interface MessageCounts {
  start: number;
  stop: number;
  settle: number;
  fence: number;
}

/** In-memory workers behind the upstream interface, on a fake clock. */
export class FakeFleet extends UpstreamClient {
  readonly workers = new Map<string, FakeWorker>();
  readonly sent: MessageCounts = {start: 0, stop: 0, settle: 0, fence: 0};
  private readonly clock: Clock;
  private readonly delayMs: number;

  constructor({clock, delayMs = 0.5}: FakeFleetOptions) {
    super();
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
    this.deliver(target, epoch, worker => {
      for (const attempt of attempts) {
        worker.start(attempt, report => this.report(target, [report]));
      }
    });
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
      this.report(target, worker.settle(attempts));
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
  ): void {
    this.clock.schedule(this.delayMs, () => {
      const worker = this.workers.get(target.worker);
      if (!worker || worker.isDead || worker.isCut) return;
      const {incarnation} = worker.announcement;
      if (incarnation !== target.incarnation) {
        this.answer(worker, () => this.listener?.replaced(target, incarnation));
        return;
      }
      if (epoch < worker.epoch) {
        const higher = worker.epoch;
        this.answer(worker, () => this.listener?.superseded(target, higher));
        return;
      }
      worker.epoch = epoch;
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
    this.clock.schedule(this.delayMs, () => {
      if (!worker.isDead && !worker.isCut) act();
    });
  }
}
