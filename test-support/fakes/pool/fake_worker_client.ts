import type {Clock} from '../../../src/core/clock/clock.js';
import {WorkerClient} from '../../../src/core/pool/lease/worker_client.js';
import {RunRefusal} from '../../../src/core/pool/lease/run_refusal.js';
import type {FakePoolWorker} from './fake_pool_worker.js';

const POLL_MS = 5;

/** Kind of a call; `look` is a poll, as in relayed orders. */
type Call = 'start' | 'stop' | 'look';
/**
 * Network fault of a call; a lost answer is a lost reply. A late order is executed
 * after newer ones, and its caller gets no reply.
 */
type Fault = 'ok' | 'order_lost' | 'answer_lost' | {readonly lateMs: number};

type Target = Parameters<WorkerClient['poll']>[0];
type Refused = {readonly kind: 'refused'; readonly reason: RunRefusal};
interface Lost {
  readonly kind: 'lost';
  readonly detail: string;
  readonly isRefused?: boolean;
}

/** Client of fake workers whose orders or replies can be lost. */
export class FakeWorkerClient extends WorkerClient {
  readonly calls: Array<{readonly call: Call; readonly worker: string}> = [];
  /** Workers whose process has crashed: connections to them are refused. */
  readonly crashed = new Set<string>();
  /** Chooses the fault of each call. */
  faultOf: (call: Call, worker: string) => Fault = () => 'ok';

  /** Called with each order to start or stop a run, and its fault. */
  onOrder: (
    call: 'start' | 'stop',
    worker: string,
    order: {
      readonly task: string;
      readonly run: number;
      readonly token: number;
    },
    fault: Fault,
  ) => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly workers: ReadonlyMap<string, FakePoolWorker>,
    private readonly delayMs = 1,
    /** Clock of late orders, which goes on while the caller is suspended. */
    private readonly networkClock = clock,
  ) {
    super();
  }

  override start: WorkerClient['start'] = (target, order, timeoutMs) =>
    this.call(
      'start',
      target,
      timeoutMs,
      worker => {
        const reason = worker.start(order);
        return reason
          ? {kind: 'refused', reason}
          : {kind: 'ok', clockMs: worker.clockMs};
      },
      fault => this.onOrder('start', target.id, order, fault),
    );

  override stop: WorkerClient['stop'] = (target, order, timeoutMs) =>
    this.call(
      'stop',
      target,
      timeoutMs,
      worker => {
        const reason = worker.stop(order);
        return reason
          ? {kind: 'refused', reason}
          : {kind: 'ok', clockMs: worker.clockMs};
      },
      fault => this.onOrder('stop', target.id, order, fault),
    );

  override poll: WorkerClient['poll'] = async (target, order, timeoutMs) => {
    const worker = this.workers.get(target.id);
    let reply = await this.pollOnce(target, order, timeoutMs);
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
      reply = await this.pollOnce(target, again, timeoutMs);
    }
    return reply;
  };

  override release(): void {}

  private pollOnce(
    target: Target,
    order: Parameters<WorkerClient['poll']>[1],
    timeoutMs: number,
  ): ReturnType<WorkerClient['poll']> {
    return this.call('look', target, timeoutMs, worker => {
      const runs = worker.poll(order);
      if (typeof runs === 'string') return {kind: 'refused', reason: runs};
      const {clockMs, report} = worker;
      const look = {clockMs, bornAt: report.bornAt, ...runs, isPartial: false};
      return {kind: 'ok', look};
    });
  }

  private async call<T>(
    call: Call,
    {id, bornAt}: Target,
    timeoutMs: number,
    act: (worker: FakePoolWorker) => T,
    onFault: (fault: Fault) => void = () => undefined,
  ): Promise<T | Refused | Lost> {
    this.calls.push({call, worker: id});
    const fault = this.faultOf(call, id);
    onFault(fault);
    const worker = this.workers.get(id);
    await this.sleep(this.delayMs);
    if (this.crashed.has(id) && fault === 'ok') {
      return {kind: 'lost', detail: 'refused', isRefused: true};
    }
    if (typeof fault === 'object') {
      const life = worker?.report.bornAt;
      this.networkClock.schedule(fault.lateMs, () => {
        if (worker && worker.report.bornAt === life) act(worker);
      });
      await this.sleep(timeoutMs);
      return {kind: 'lost', detail: 'late'};
    }
    const isOther = bornAt !== undefined && worker?.report.bornAt !== bornAt;
    if (worker && isOther && fault === 'ok' && worker.refusesOthers) {
      return {kind: 'refused', reason: RunRefusal.otherLife};
    }
    const answer = worker && fault !== 'order_lost' ? act(worker) : undefined;
    if (answer === undefined || fault === 'answer_lost') {
      await this.sleep(timeoutMs);
      return {kind: 'lost', detail: fault};
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
