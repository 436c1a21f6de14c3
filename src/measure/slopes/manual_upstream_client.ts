import type {AttemptStart} from '../../core/upstream/attempt_start.js';
import {UpstreamClient} from '../../core/upstream/upstream_client.js';
import type {WorkerTarget} from '../../core/upstream/worker_target.js';

/** Completes started attempts on demand and adds almost no CPU time. */
export class ManualUpstreamClient extends UpstreamClient {
  private running: Array<{target: WorkerTarget; id: string}> = [];
  private head = 0;
  starts = 0;

  get runningCount(): number {
    return this.running.length - this.head;
  }

  override start(
    target: WorkerTarget,
    _epoch: number,
    attempts: readonly AttemptStart[],
  ): void {
    for (const {id} of attempts) {
      this.starts += 1;
      this.running.push({target, id});
    }
  }

  /** Reports the `count` oldest running attempts as succeeded. */
  completeOldest(count: number): void {
    for (let n = 0; n < count && this.runningCount > 0; n += 1) {
      const {target, id} = this.running[this.head]!;
      this.head += 1;
      this.listener?.reported(target, [{id, state: 'succeeded', result: null}]);
    }
    if (this.head < 10_000) return;
    this.running = this.running.slice(this.head);
    this.head = 0;
  }

  override stop(): void {}

  override settle(): void {}

  override fence(target: WorkerTarget, epoch: number): void {
    this.listener?.fenced(target, epoch, []);
  }
}
