import type {AttemptStart} from '../upstream/attempt_start.js';
import {UpstreamClient} from '../upstream/upstream_client.js';
import type {UpstreamListener} from '../upstream/upstream_listener.js';
import type {WorkerTarget} from '../upstream/worker_target.js';
import {ZoneWorker} from './zone_worker.js';

/** Routes each message to a worker of this zone or to a lending zone. */
export class RoutingUpstreamClient extends UpstreamClient {
  constructor(
    private readonly workers: UpstreamClient,
    private readonly zones: UpstreamClient,
  ) {
    super();
  }

  override listen(listener: UpstreamListener): void {
    this.workers.listen(listener);
    this.zones.listen(listener);
  }

  override start(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): void {
    this.clientOf(target).start(target, epoch, attempts);
  }

  override stop(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void {
    this.clientOf(target).stop(target, epoch, attempts);
  }

  override settle(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void {
    this.clientOf(target).settle(target, epoch, attempts, forget);
  }

  override fence(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void {
    this.clientOf(target).fence(target, epoch, attempts);
  }

  private clientOf({worker}: WorkerTarget): UpstreamClient {
    return ZoneWorker.isZone(worker) ? this.zones : this.workers;
  }
}
