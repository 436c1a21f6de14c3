import {FakeFleet} from '../../../test-support/fakes/fake_fleet.js';
import type {AttemptStart} from '../../core/upstream/attempt_start.js';
import type {WorkerTarget} from '../../core/upstream/worker_target.js';

/** Fake workers that count the attempts and messages sent to them. */
export class CountingFleet extends FakeFleet {
  /** Keys of cancelled jobs; the owner adds a key before each cancel. */
  readonly cancelled = new Set<string>();
  starts = 0;
  /** Starts sent after their job was cancelled. */
  startsAfterCancel = 0;
  /** Attempts named in stop messages. */
  stopEntries = 0;
  /** Attempts named in a stop message again. */
  repeatedStops = 0;
  /** Attempts named in a stop message without an earlier start message. */
  stopsWithoutStart = 0;
  /** Attempts of cancelled jobs whose state was queried by settle messages. */
  queriesAfterCancel = 0;
  /** Settle messages that only allow the worker to drop records. */
  forgetMessages = 0;
  private readonly keys = new Map<string, string>();
  private readonly stopped = new Set<string>();

  override start(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): void {
    for (const {id, key} of attempts) {
      this.starts += 1;
      this.keys.set(id, key);
      if (this.cancelled.has(key)) this.startsAfterCancel += 1;
    }
    super.start(target, epoch, attempts);
  }

  override stop(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void {
    for (const id of attempts) {
      this.stopEntries += 1;
      if (!this.keys.has(id)) this.stopsWithoutStart += 1;
      if (this.stopped.has(id)) this.repeatedStops += 1;
      this.stopped.add(id);
    }
    super.stop(target, epoch, attempts);
  }

  override settle(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void {
    if (attempts.length === 0) this.forgetMessages += 1;
    for (const id of attempts) {
      if (this.cancelled.has(this.keys.get(id) ?? '')) {
        this.queriesAfterCancel += 1;
      }
    }
    super.settle(target, epoch, attempts, forget);
  }
}
