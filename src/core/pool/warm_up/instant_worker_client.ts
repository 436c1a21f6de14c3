import type {SteppedClock} from '../../clock/stepped_clock.js';
import {RunEnd} from '../lease/run_end.js';
import {WorkerClient} from '../lease/worker_client.js';

interface End {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: RunEnd;
}

interface SimulatedWorker {
  readonly running: Map<string, number>;
  ends: End[];
  count: number;
}

/** Simulates workers without a network; tasks end after a fixed time. */
export class InstantWorkerClient extends WorkerClient {
  private readonly workers = new Map<string, SimulatedWorker>();

  constructor(
    private readonly clock: SteppedClock,
    private readonly runMs: number,
  ) {
    super();
  }

  override start: WorkerClient['start'] = (target, {task, run}) => {
    const worker = this.worker(target.id);
    worker.running.set(task, run);
    this.clock.schedule(this.runMs, () => {
      worker.running.delete(task);
      worker.count += 1;
      worker.ends.push({number: worker.count, task, run, how: RunEnd.done});
    });
    return Promise.resolve({kind: 'ok', clockMs: this.clockMs});
  };

  override stop: WorkerClient['stop'] = () =>
    Promise.resolve({kind: 'ok', clockMs: this.clockMs});

  override poll: WorkerClient['poll'] = (target, {acknowledged, waitMs}) => {
    const worker = this.worker(target.id);
    worker.ends = worker.ends.filter(end => end.number > acknowledged);
    return new Promise(resolve => {
      this.clock.schedule(Math.min(waitMs, this.runMs), () =>
        resolve({
          kind: 'ok',
          look: {
            clockMs: this.clockMs,
            bornAt: 1,
            running: [...worker.running].map(([task, run]) => ({task, run})),
            ended: [...worker.ends],
            isPartial: false,
          },
        }),
      );
    });
  };

  override release(): void {}

  private get clockMs(): number {
    return Math.floor(this.clock.now());
  }

  private worker(id: string): SimulatedWorker {
    let worker = this.workers.get(id);
    if (!worker) {
      worker = {running: new Map(), ends: [], count: 0};
      this.workers.set(id, worker);
    }
    return worker;
  }
}
