import type {Clock} from '../../../src/core/clock/clock.js';
import {WorkerClient} from '../../../src/core/pool/worker_client.js';
import type {FakePoolWorker} from './fake_pool_worker.js';

const POLL_MS = 5;

type Call = 'start' | 'stop' | 'look';
/** What the network does to a call. */
type Fate = 'ok' | 'order_lost' | 'answer_lost';

/** Calls to fake workers that the network may lose on either way. */
export class FakeWorkerClient extends WorkerClient {
  readonly calls: Array<{readonly call: Call; readonly worker: string}> = [];
  /** Decides what becomes of each call. */
  fate: (call: Call, worker: string) => Fate = () => 'ok';

  constructor(
    private readonly clock: Clock,
    private readonly workers: ReadonlyMap<string, FakePoolWorker>,
    private readonly delayMs = 1,
  ) {
    super();
  }

  override start: WorkerClient['start'] = (target, order, timeoutMs) =>
    this.call('start', target.id, timeoutMs, worker => {
      const reason = worker.start(order);
      return reason
        ? {kind: 'refused', reason}
        : {kind: 'ok', clockMs: worker.clockMs};
    });

  override stop: WorkerClient['stop'] = (target, order, timeoutMs) =>
    this.call('stop', target.id, timeoutMs, worker => {
      const reason = worker.stop(order);
      return reason
        ? {kind: 'refused', reason}
        : {kind: 'ok', clockMs: worker.clockMs};
    });

  override poll: WorkerClient['poll'] = async (target, order, timeoutMs) => {
    const worker = this.workers.get(target.id);
    let reply = await this.lookOnce(target, order, timeoutMs);
    let waitedMs = 0;
    while (
      reply.kind === 'ok' &&
      waitedMs < order.waitMs &&
      !worker?.hasEndAfter(order.acknowledged)
    ) {
      await this.sleep(POLL_MS);
      waitedMs += POLL_MS;
      if (waitedMs < order.waitMs && !worker?.hasEndAfter(order.acknowledged)) {
        continue;
      }
      const {token, acknowledged, waitMs} = order;
      const again = {token, acknowledged, waitMs};
      reply = await this.lookOnce(target, again, timeoutMs);
    }
    return reply;
  };

  override release(): void {}

  private lookOnce(
    target: Parameters<WorkerClient['poll']>[0],
    order: Parameters<WorkerClient['poll']>[1],
    timeoutMs: number,
  ): ReturnType<WorkerClient['poll']> {
    return this.call('look', target.id, timeoutMs, worker => {
      const lists = worker.look(order);
      if (typeof lists === 'string') return {kind: 'refused', reason: lists};
      const {clockMs, report} = worker;
      const look = {clockMs, bornAt: report.bornAt, ...lists, isPartial: false};
      return {kind: 'ok', look};
    });
  }

  private async call<T>(
    call: Call,
    id: string,
    timeoutMs: number,
    act: (worker: FakePoolWorker) => T,
  ): Promise<T | {kind: 'lost'; detail: string}> {
    this.calls.push({call, worker: id});
    const fate = this.fate(call, id);
    const worker = this.workers.get(id);
    await this.sleep(this.delayMs);
    const answer = worker && fate !== 'order_lost' ? act(worker) : undefined;
    if (answer === undefined || fate === 'answer_lost') {
      await this.sleep(timeoutMs);
      return {kind: 'lost', detail: fate};
    }
    await this.sleep(this.delayMs);
    return answer;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.schedule(ms, resolve);
    });
  }
}
