import type {Cancellable} from '../../core/clock/cancellable.js';
import type {Clock} from '../../core/clock/clock.js';
import {EmulatedJob} from './emulated_job.js';
import type {EmulatedRun} from './emulated_run.js';

/** Longest lease, in ms. */
const MAX_LEASE_MS = 1_000;
/** Time that a stop takes, in ms. */
const STOP_MS = 40;
/** Maximum number of ends in one reply. */
const MAX_LISTED_ENDS = 500;

/** Reasons for which an order is not executed. */
type Refusal = 'fence' | 'old' | 'late' | 'room';

interface RunOrder {
  readonly task: string;
  readonly run: number;
  readonly fencing_token?: number;
}

interface StartOrder extends RunOrder {
  readonly spec: string;
  readonly deadline_ms: number;
}

interface HoldOrder {
  readonly fencing_token?: number;
  readonly acked_upto: number;
  readonly deadline_ms?: number;
}

interface WorkerOptions {
  readonly clock: Clock;
  readonly id: string;
  /** Start of this process instance, in ms since the Unix epoch. */
  readonly bornAt: number;
  readonly zone: string;
  /** Whether starts beyond the capacity are refused. */
  readonly guardsCapacity: boolean;
  readonly cpu: number;
  readonly memoryMb: number;
  /** Rate of the worker's clock; from 0.98 to 1. */
  readonly clockRate: number;
  readonly onStart: (run: EmulatedRun) => void;
}

type Active = EmulatedRun & {
  readonly cpu: number;
  readonly memoryMb: number;
  /** End on the worker's clock, and how. */
  endsAt: number;
  end: string;
};

/** One process instance of a worker: leases, fencing, run numbers, capacity. */
export class EmulatedWorker {
  private readonly active = new Set<Active>();
  private ended: Array<[number, string, number, string, string]> = [];
  private readonly highestRun = new Map<string, number>();
  private readonly bootedAt: number;
  private token = 0;
  private leaseEnd = 0;
  private endCount = 0;
  private timer: Cancellable | undefined;
  /** Called at each end. */
  readonly onEnd = new Set<() => void>();

  constructor(readonly opts: WorkerOptions) {
    this.bootedAt = opts.clock.now();
  }

  /** Whether an end is listed. */
  get hasEnds(): boolean {
    this.endDueRuns();
    return this.ended.length > 0;
  }

  /** Whether its runs need more than its capacity. */
  get isOverloaded(): boolean {
    const {cpu, memoryMb} = this.opts;
    return !this.hasRoom(0, 0, cpu, memoryMb);
  }

  start(order: StartOrder, isLate: boolean): Refusal | undefined {
    if (this.isFenced(order)) return 'fence';
    if (order.deadline_ms <= this.clockMs) return 'late';
    this.extend(order.deadline_ms);
    const {task, run, fencing_token: token = 0} = order;
    for (const each of this.active) {
      if (each.task === task && each.run === run) return undefined;
    }
    if (run <= (this.highestRun.get(task) ?? 0)) return 'old';
    const {cpu, memoryMb, runMs} = EmulatedJob.stepOf(task, order.spec);
    if (this.opts.guardsCapacity && !this.hasRoom(cpu, memoryMb)) return 'room';
    const active: Active = {
      ...{task, run, token, isLate, cpu, memoryMb},
      worker: this,
      startedAt: this.opts.clock.now(),
      how: undefined,
      endedAt: undefined,
      endsAt: this.clockMs + runMs,
      end: 'done',
    };
    this.active.add(active);
    this.scheduleEnds();
    this.opts.onStart(active);
    return undefined;
  }

  stop(order: RunOrder): Refusal | undefined {
    if (this.isFenced(order)) return 'fence';
    const {task, run} = order;
    this.recordRun(task, run);
    for (const each of this.active) {
      if (each.task !== task || each.run !== run) continue;
      const endsAt = this.clockMs + STOP_MS;
      if (each.endsAt > endsAt) Object.assign(each, {endsAt, end: 'stopped'});
    }
    this.scheduleEnds();
    return undefined;
  }

  hold(order: HoldOrder): Refusal | undefined {
    if (this.isFenced(order)) return 'fence';
    if (order.deadline_ms !== undefined) this.extend(order.deadline_ms);
    this.ended = this.ended.filter(([number]) => number > order.acked_upto);
    return undefined;
  }

  /** Body of every reply. */
  status(): object {
    this.endDueRuns();
    return {
      clock_ms: Math.floor(this.clockMs),
      born: this.opts.bornAt,
      running: [...this.active].map(({task, run}) => [task, run, '', 50]),
      finished: this.ended.slice(0, MAX_LISTED_ENDS),
    };
  }

  /** Ends everything, as when the process is killed. */
  crash(): void {
    this.endDueRuns();
    this.timer?.cancel();
    this.onEnd.clear();
    for (const run of this.active) this.finish(run, 'crashed');
  }

  /** Ends the runs whose run time or lease is over by now. */
  endDueRuns(): void {
    const now = this.clockMs;
    for (const run of this.active) {
      if (Math.min(run.endsAt, this.leaseEnd) > now) continue;
      this.finish(run, run.endsAt <= this.leaseEnd ? run.end : 'lapsed');
    }
  }

  private get clockMs(): number {
    const {clock, clockRate} = this.opts;
    return (clock.now() - this.bootedAt) * clockRate;
  }

  private isFenced({fencing_token: token = 0}: {fencing_token?: number}) {
    this.endDueRuns();
    if (token < this.token) return true;
    this.token = token;
    return false;
  }

  /** A lease never shortens. */
  private extend(leaseEnd: number): void {
    const maxEnd = this.clockMs + MAX_LEASE_MS;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(leaseEnd, maxEnd));
    this.scheduleEnds();
  }

  private hasRoom(
    cpu: number,
    memoryMb: number,
    maxCpu = this.opts.cpu,
    maxMemoryMb = this.opts.memoryMb,
  ): boolean {
    for (const run of this.active) {
      cpu += run.cpu;
      memoryMb += run.memoryMb;
    }
    return cpu <= maxCpu && memoryMb <= maxMemoryMb;
  }

  private recordRun(task: string, run: number): void {
    const highest = this.highestRun.get(task) ?? 0;
    this.highestRun.set(task, Math.max(highest, run));
  }

  private finish(run: Active, how: string): void {
    this.active.delete(run);
    run.how = how;
    run.endedAt = this.opts.clock.now();
    this.recordRun(run.task, run.run);
    this.endCount += 1;
    this.ended.push([this.endCount, run.task, run.run, how, '']);
    for (const notify of this.onEnd) notify();
  }

  private scheduleEnds(): void {
    this.timer?.cancel();
    if (this.active.size === 0) return;
    const ends = [...this.active].map(({endsAt}) => endsAt);
    const due = Math.min(this.leaseEnd, ...ends) - this.clockMs;
    const delayMs = Math.max(0, due) / this.opts.clockRate;
    this.timer = this.opts.clock.schedule(Math.ceil(delayMs), () => {
      this.endDueRuns();
      this.scheduleEnds();
    });
  }
}
