import type {SteppedClock} from '../../core/clock/stepped_clock.js';
import {RunEnd} from '../../core/pool/lease/run_end.js';
import {WorkerClient} from '../../core/pool/lease/worker_client.js';

/** One-way delay between the dispatcher and a worker. */
const DELAY_MS = 0.5;

interface End {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: RunEnd;
}

interface Active {
  readonly run: number;
  readonly startedAt: number;
}

interface SimulatedWorker {
  readonly running: Map<string, Active>;
  ends: End[];
  count: number;
  /** Replies to polls that wait for an end. */
  waiting: Array<() => void>;
}

/** Run time and outcome of a task on a worker. */
interface Outcome {
  readonly runMs: number;
  readonly hasFailed: boolean;
}

/** Simulates a fleet whose run times depend on the task and its worker. */
export class SimulatedFleet extends WorkerClient {
  starts = 0;
  /** Sum of the run times of stopped and failed runs, in ms. */
  wastedMs = 0;
  stops = 0;
  private readonly workers = new Map<string, SimulatedWorker>();

  constructor(
    private readonly clock: SteppedClock,
    private readonly outcomeOf: (task: string, worker: string) => Outcome,
  ) {
    super();
  }

  override start: WorkerClient['start'] = async (target, {task, run}) => {
    await this.sleep(DELAY_MS);
    const worker = this.worker(target.id);
    this.starts += 1;
    const {runMs, hasFailed} = this.outcomeOf(task, target.id);
    worker.running.set(task, {run, startedAt: this.clock.now()});
    this.clock.schedule(runMs, () =>
      this.end(worker, task, run, hasFailed ? RunEnd.failed : RunEnd.done),
    );
    await this.sleep(DELAY_MS);
    return {kind: 'ok', clockMs: this.clockMs};
  };

  override stop: WorkerClient['stop'] = async (target, {task, run}) => {
    await this.sleep(DELAY_MS);
    this.stops += 1;
    this.end(this.worker(target.id), task, run, RunEnd.stopped);
    await this.sleep(DELAY_MS);
    return {kind: 'ok', clockMs: this.clockMs};
  };

  override poll: WorkerClient['poll'] = async (
    target,
    {acknowledged, waitMs},
  ) => {
    await this.sleep(DELAY_MS);
    const worker = this.worker(target.id);
    worker.ends = worker.ends.filter(end => end.number > acknowledged);
    if (worker.ends.length === 0 && waitMs > 0) {
      await new Promise<void>(resolve => {
        worker.waiting.push(resolve);
        this.clock.schedule(waitMs, resolve);
      });
    }
    await this.sleep(DELAY_MS);
    const running = [...worker.running].map(([task, {run}]) => ({task, run}));
    const ended = [...worker.ends];
    const {clockMs} = this;
    const look = {clockMs, bornAt: 1, running, ended, isPartial: false};
    return {kind: 'ok', look};
  };

  override release(): void {}

  private get clockMs(): number {
    return Math.floor(this.clock.now());
  }

  private end(
    worker: SimulatedWorker,
    task: string,
    run: number,
    how: RunEnd,
  ): void {
    const active = worker.running.get(task);
    if (active?.run !== run) return;
    worker.running.delete(task);
    if (how !== RunEnd.done) {
      this.wastedMs += this.clock.now() - active.startedAt;
    }
    worker.count += 1;
    worker.ends.push({number: worker.count, task, run, how});
    const {waiting} = worker;
    worker.waiting = [];
    for (const resolve of waiting) resolve();
  }

  private worker(id: string): SimulatedWorker {
    let worker = this.workers.get(id);
    if (!worker) {
      worker = {running: new Map(), ends: [], count: 0, waiting: []};
      this.workers.set(id, worker);
    }
    return worker;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.schedule(ms, resolve);
    });
  }
}
