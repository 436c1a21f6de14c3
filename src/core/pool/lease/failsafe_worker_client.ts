import type {PoolObserver} from '../pool_observer.js';
import {WorkerClient} from './worker_client.js';

type Target = Parameters<WorkerClient['start']>[0];
type Lost = Extract<Awaited<ReturnType<WorkerClient['start']>>, {kind: 'lost'}>;

/**
 * Turns an error of a client into a lost reply. Dispatchers send orders to each
 * worker independently, so what one worker announces must not end the process.
 */
export class FailsafeWorkerClient extends WorkerClient {
  constructor(
    private readonly client: WorkerClient,
    private readonly observer: PoolObserver,
  ) {
    super();
  }

  override start: WorkerClient['start'] = (target, ...rest) =>
    this.call(target, () => this.client.start(target, ...rest));

  override stop: WorkerClient['stop'] = (target, ...rest) =>
    this.call(target, () => this.client.stop(target, ...rest));

  override poll: WorkerClient['poll'] = (target, ...rest) =>
    this.call(target, () => this.client.poll(target, ...rest));

  override release(address: string): void {
    try {
      this.client.release(address);
    } catch (err) {
      this.recordFailure({address}, String(err));
    }
  }

  private async call<T>(
    {id: worker, address}: Target,
    send: () => Promise<T>,
  ): Promise<T | Lost> {
    try {
      return await send();
    } catch (err) {
      const detail = String(err);
      this.recordFailure({worker, address}, detail);
      return {kind: 'lost', detail};
    }
  }

  private recordFailure(fields: object, detail: string): void {
    this.observer.recordStateChange('order_failed', {...fields, detail});
  }
}
