import {RunEnd} from '../../../src/core/pool/lease/run_end.js';
import {RunRefusal} from '../../../src/core/pool/lease/run_refusal.js';
import type {WorkerReport} from '../../../src/core/pool/registry/worker_report.js';
import type {FakeClock} from '../fake_clock.js';

interface Running {
  readonly run: number;
  readonly startedAt: number;
  endsAt: number;
  how: RunEnd;
}

interface End {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: RunEnd;
}

/** Fake worker with leases, fencing and run ends, on a fake clock. */
export class FakePoolWorker {
  readonly running = new Map<string, Running>();
  /** Ended runs, with their start and end times. */
  readonly history: Array<{
    task: string;
    run: number;
    from: number;
    to: number;
  }> = [];
  /** Run time of a task, in ms, by task name. */
  runMs: (task: string) => number = () => 100;
  endOf: (task: string) => RunEnd = () => RunEnd.done;
  /** Time that a stop takes, in ms. */
  stopMs = 0;
  /** Whether starts beyond the capacity are refused. */
  guardsCapacity = true;
  /** Called with the task of each run that starts. */
  onStart: (task: string) => void = () => undefined;
  /** Whether clients deliver only the orders for its present process instance. */
  refusesOthers = true;
  /** Time that has passed here while the machine of the dispatcher was suspended. */
  aheadMs = 0;
  private readonly ends: End[] = [];
  private readonly highestRun = new Map<string, number>();
  private token = 0;
  private leaseEnd = 0;
  private endCount = 0;
  private bootedAt: number;

  constructor(
    public report: WorkerReport,
    private readonly clock: FakeClock,
    private readonly leaseMs: number,
  ) {
    this.bootedAt = clock.now();
  }

  get clockMs(): number {
    return Math.floor(this.clock.now() - this.bootedAt + this.aheadMs);
  }

  /** Ends the runs whose run time or lease has expired by now. */
  processDueEnds(): void {
    const now = this.clockMs;
    for (const [task, {run, endsAt, how}] of [...this.running]) {
      const at = Math.min(endsAt, this.leaseEnd);
      if (at > now) continue;
      this.end(task, run, endsAt <= this.leaseEnd ? how : RunEnd.lapsed, at);
    }
  }

  start(order: {
    task: string;
    run: number;
    token: number;
    leaseEnd: number;
  }): RunRefusal | undefined {
    this.processDueEnds();
    if (order.token < this.token) return RunRefusal.fenced;
    this.token = order.token;
    if (order.leaseEnd <= this.clockMs) return RunRefusal.late;
    this.extend(order.leaseEnd);
    const {task, run} = order;
    if (this.running.get(task)?.run === run) return undefined;
    if (run <= (this.highestRun.get(task) ?? 0)) return RunRefusal.old;
    const {cpu} = this.report.capacity;
    if (this.guardsCapacity && this.running.size >= cpu / 1_000) {
      return RunRefusal.noRoom;
    }
    this.recordReplaced(task);
    const endsAt = this.clockMs + this.runMs(task);
    const startedAt = this.clockMs;
    this.running.set(task, {run, startedAt, endsAt, how: this.endOf(task)});
    this.onStart(task);
    return undefined;
  }

  stop(order: {
    task: string;
    run: number;
    token: number;
  }): RunRefusal | undefined {
    this.processDueEnds();
    if (order.token < this.token) return RunRefusal.fenced;
    const {task, run} = order;
    this.recordRun(task, run);
    const running = this.running.get(task);
    if (running?.run === run && running.how !== RunEnd.stopped) {
      running.endsAt = Math.min(running.endsAt, this.clockMs + this.stopMs);
      running.how = RunEnd.stopped;
      this.processDueEnds();
    }
    return undefined;
  }

  poll(order: {
    token: number;
    acknowledged: number;
    leaseEnd?: number | undefined;
  }):
    | RunRefusal
    | {running: Array<{task: string; run: number}>; ended: readonly End[]} {
    this.processDueEnds();
    if (order.token < this.token) return RunRefusal.fenced;
    this.token = order.token;
    if (order.leaseEnd !== undefined) this.extend(order.leaseEnd);
    while (this.ends[0] && this.ends[0].number <= order.acknowledged) {
      this.ends.shift();
    }
    const running = [...this.running].map(([task, {run}]) => ({task, run}));
    return {running, ended: [...this.ends]};
  }

  /** Whether a run has ended with a number above `number`. */
  hasEndAfter(number: number): boolean {
    this.processDueEnds();
    return this.ends.some(end => end.number > number);
  }

  private extend(leaseEnd: number): void {
    const maxEnd = this.clockMs + this.leaseMs;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(leaseEnd, maxEnd));
  }

  private recordRun(task: string, run: number): void {
    const highest = this.highestRun.get(task) ?? 0;
    this.highestRun.set(task, Math.max(highest, run));
  }

  /** Records an active run of a task that gets another one: both are at work. */
  private recordReplaced(task: string): void {
    const active = this.running.get(task);
    if (!active) return;
    const {run, startedAt, endsAt} = active;
    const from = this.bootedAt + startedAt;
    const to = this.bootedAt + Math.min(endsAt, this.leaseEnd);
    this.history.push({task, run, from, to});
  }

  private end(task: string, run: number, how: RunEnd, at: number): void {
    const {startedAt} = this.running.get(task)!;
    this.running.delete(task);
    this.recordRun(task, run);
    this.endCount += 1;
    this.ends.push({number: this.endCount, task, run, how});
    const from = this.bootedAt + startedAt;
    this.history.push({task, run, from, to: this.bootedAt + at});
  }

  /** Ends the process and all runs; another process starts under the same id. */
  restart(): void {
    this.processDueEnds();
    for (const [task, {run}] of [...this.running]) {
      this.end(task, run, RunEnd.lost, this.clockMs);
    }
    this.ends.length = 0;
    this.highestRun.clear();
    this.token = this.leaseEnd = this.endCount = 0;
    this.bootedAt = this.clock.now();
    this.report = {...this.report, bornAt: this.report.bornAt + 1};
  }
}
