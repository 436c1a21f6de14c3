import type {SteppedClock} from '../../core/clock/stepped_clock.js';
import {RunEnd} from '../../core/pool/lease/run_end.js';
import {RunRefusal} from '../../core/pool/lease/run_refusal.js';
import {WorkerClient} from '../../core/pool/lease/worker_client.js';

type StatusReply = Awaited<ReturnType<WorkerClient['poll']>>;

interface SimulatedWorker {
  readonly running: Map<string, {readonly run: number; isOver: boolean}>;
  ends: Array<{number: number; task: string; run: number; how: RunEnd}>;
  count: number;
  token: number;
  /** Replies to the poll that waits for the end of a run. */
  reply: (() => void) | undefined;
}

interface SimulatedFleetOptions {
  readonly clock: SteppedClock;
  readonly runMsOf: (task: string, worker: string) => number;
  /** One-way delay from the dispatcher to a worker, in ms. */
  readonly delayMsOf: (worker: string) => number;
}

/** Simulates workers that answer a poll as soon as a run ends. */
export class SimulatedFleet extends WorkerClient {
  starts = 0;
  private readonly workers = new Map<string, SimulatedWorker>();

  constructor(private readonly opts: SimulatedFleetOptions) {
    super();
  }

  override start: WorkerClient['start'] = (target, {task, run, token}) =>
    this.deliver(target.id, worker => {
      if (token < worker.token) return fenced();
      worker.token = token;
      this.starts += 1;
      const state = {run, isOver: false};
      worker.running.set(task, state);
      this.opts.clock.schedule(this.opts.runMsOf(task, target.id), () => {
        if (!state.isOver) this.end(worker, task, RunEnd.done);
      });
      return {kind: 'ok', clockMs: this.clockMs};
    });

  override stop: WorkerClient['stop'] = (target, {task, run}) =>
    this.deliver(target.id, worker => {
      const state = worker.running.get(task);
      if (state?.run === run) this.end(worker, task, RunEnd.stopped);
      return {kind: 'ok', clockMs: this.clockMs};
    });

  override poll: WorkerClient['poll'] = async (target, order) => {
    const {clock, delayMsOf} = this.opts;
    const worker = this.worker(target.id);
    const delayMs = delayMsOf(target.id);
    await this.sleep(delayMs);
    if (order.token < worker.token) return fenced();
    worker.token = order.token;
    worker.ends = worker.ends.filter(e => e.number > order.acknowledged);
    if (worker.ends.length === 0 && order.waitMs > 0) {
      await new Promise<void>(resolve => {
        worker.reply = resolve;
        clock.schedule(order.waitMs, resolve);
      });
    }
    const running = [...worker.running].map(([task, {run}]) => ({task, run}));
    const ended = [...worker.ends];
    const {clockMs} = this;
    await this.sleep(delayMs);
    const look = {clockMs, bornAt: 1, running, ended, isPartial: false};
    return {kind: 'ok', look} satisfies StatusReply;
  };

  override release(): void {}

  private end(worker: SimulatedWorker, task: string, how: RunEnd): void {
    const state = worker.running.get(task);
    if (!state) return;
    state.isOver = true;
    worker.running.delete(task);
    worker.count += 1;
    worker.ends.push({number: worker.count, task, run: state.run, how});
    worker.reply?.();
    worker.reply = undefined;
  }

  private async deliver<T>(
    id: string,
    act: (worker: SimulatedWorker) => T,
  ): Promise<T> {
    const delayMs = this.opts.delayMsOf(id);
    await this.sleep(delayMs);
    const reply = act(this.worker(id));
    await this.sleep(delayMs);
    return reply;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.opts.clock.schedule(ms, resolve);
    });
  }

  private get clockMs(): number {
    return Math.floor(this.opts.clock.now());
  }

  private worker(id: string): SimulatedWorker {
    let worker = this.workers.get(id);
    if (!worker) {
      worker = {
        running: new Map(),
        ends: [],
        count: 0,
        token: 0,
        reply: undefined,
      };
      this.workers.set(id, worker);
    }
    return worker;
  }
}

function fenced() {
  return {kind: 'refused', reason: RunRefusal.fenced} as const;
}
