import {PoolBench} from '../../../test-support/fakes/pool/pool_bench.js';
import type {FakePoolWorker} from '../../../test-support/fakes/pool/fake_pool_worker.js';
import type {PoolDispatcher} from '../../core/pool/dispatcher/pool_dispatcher.js';
import type {PoolStep} from './pool_step.js';

const WORKERS = 6;
const TASKS_EACH = 2;
/** Time for which an earlier, larger capacity still counts. */
const SHRINK_GRACE_MS = 4_500;
/** Time in which every job must be answered once the faults have ended. */
const SETTLE_MS = 30_000;
const SETTLE_STEP_MS = 500;
const PATIENCE_MS = 25_000;
/** Crashes under one task after which it may be started only so often. */
const COUNTED_CRASHES = 3;
const MAX_FURTHER_STARTS = 2;

/** Time after which a caller whose connection broke sends its job again. */
const RESEND_MS = 1_300;
/** Time after a start within which a refusal may not say "not run". */
const MEMORY_MS = 2_800;
/** Revision of a configuration that no dispatcher has. */
const UNKNOWN_REVISION = 99;

/** Of this many callers, one leaves at a takeover. */
const CALLERS_PER_LEAVE = 4;

interface Job {
  readonly id: string;
  readonly tasks: number;
  readonly runMs: number;
  readonly isDeadly: boolean;
}

interface Start {
  readonly task: string;
  readonly worker: string;
  /** Workers that had crashed under the task before. */
  readonly crashesBefore: number;
}

/**
 * One generated history of dispatchers and workers that do not check their
 * capacity, on a fake clock. Collects the violations of the rules on starts.
 */
export class PoolRun {
  readonly violations: string[] = [];
  readonly starts: Start[] = [];
  private readonly bench = new PoolBench(0);
  private readonly jobs: Job[] = [];
  /** Capacities of each worker, in tasks, with the time when they began. */
  private readonly capacities = new Map<string, Array<[number, number]>>();
  private readonly cutUntil = new Map<string, number>();
  private readonly dark = new Set<string>();
  /** Jobs whose callers have left. */
  private readonly left = new Set<string>();
  /** Workers that crashed while they ran each task. */
  private readonly crashedUnder = new Map<string, Set<string>>();
  /** Time of the last start of each job. */
  private readonly startedAt = new Map<string, number>();
  /** Jobs that were refused as not run and not submitted again since. */
  private readonly refused = new Set<string>();
  /** Resubmissions of jobs that started shortly before. */
  resubmissions = 0;
  private stopsLostUntil = 0;
  private dispatcher: PoolDispatcher;
  private term = 1;
  private successors = 0;

  constructor() {
    const {bench} = this;
    for (let n = 0; n < WORKERS; n += 1) this.addWorker(`w${n}`, TASKS_EACH);
    bench.client.faultOf = (call, id) => {
      const now = bench.clock.now();
      if (call === 'stop' && now < this.stopsLostUntil) return 'order_lost';
      const isCut = (this.cutUntil.get(id) ?? 0) > now;
      return isCut || this.dark.has(id) ? 'order_lost' : 'ok';
    };
    bench.onAnswer = (id, {kind}) => {
      if (kind === 'refused') this.checkRefusal(id);
    };
    this.dispatcher = bench.createDispatcher();
  }

  get crashes(): number {
    return [...this.crashedUnder.values()].reduce((n, s) => n + s.size, 0);
  }

  async run(steps: readonly PoolStep[]): Promise<void> {
    await this.advance(50);
    for (const step of steps) {
      await this.advance(step.waitMs);
      this.execute(step);
    }
    this.cutUntil.clear();
    this.stopsLostUntil = 0;
    for (const id of this.bench.workers.keys()) this.resize(id, TASKS_EACH);
    const isAnswered = ({id}: Job) =>
      this.left.has(id) || this.bench.answers.has(id);
    for (let waited = 0; waited < SETTLE_MS; waited += SETTLE_STEP_MS) {
      if (this.jobs.every(isAnswered)) break;
      await this.advance(SETTLE_STEP_MS);
    }
    this.checkAnswers();
    this.checkBudget();
    for (const task of new Set(this.bench.overlaps())) {
      this.violations.push(`${task}: two runs at the same time`);
    }
  }

  private execute(step: PoolStep): void {
    switch (step.kind) {
      case 'submit': {
        const {tasks, runMs, isDeadly} = step;
        const job = {id: `j${this.jobs.length}`, tasks, runMs, isDeadly};
        this.jobs.push(job);
        return this.submit(job);
      }
      case 'crash':
        return this.crash(this.idOf(step.worker), false);
      case 'power_loss':
        return this.crash(this.idOf(step.worker), true);
      case 'cut': {
        const until = this.bench.clock.now() + step.forMs;
        this.cutUntil.set(this.idOf(step.worker), until);
        return;
      }
      case 'lose_stops':
        this.stopsLostUntil = this.bench.clock.now() + step.forMs;
        return;
      case 'resize':
        return this.resize(this.idOf(step.worker), step.tasks);
      case 'take_over':
        return this.takeOver(step.leaves);
      case 'resubmit': {
        const job = this.jobs[step.job];
        if (job && this.bench.answers.has(job.id)) this.submit(job);
        return;
      }
      case 'reconnect': {
        const job = this.jobs[step.job % this.jobs.length];
        if (job) this.reconnect(job);
      }
    }
  }

  private submit(job: Job, revision = 0): void {
    const {id, tasks, runMs: estimatedMs} = job;
    const opts = {tasks, estimatedMs, patienceMs: PATIENCE_MS};
    this.refused.delete(id);
    const submission = {...PoolBench.submission(id, opts), revision};
    this.dispatcher.submit('e', submission);
  }

  /**
   * Breaks the connection of a caller, which sends the job again to another
   * entry node; it cannot be served there.
   */
  private reconnect(job: Job): void {
    this.left.add(job.id);
    this.dispatcher.drop(job.id, 'e', 'caller_gone');
    this.bench.clock.schedule(RESEND_MS, () => {
      if (this.hasStartedRecently(job.id)) this.resubmissions += 1;
      this.submit(job, UNKNOWN_REVISION);
    });
  }

  private checkRefusal(id: string): void {
    this.refused.add(id);
    if (!this.hasStartedRecently(id)) return;
    this.violations.push(`${id}: refused as not run after a start`);
  }

  private hasStartedRecently(id: string): boolean {
    const startedAt = this.startedAt.get(id) ?? Number.NEGATIVE_INFINITY;
    return this.bench.clock.now() - startedAt <= MEMORY_MS;
  }

  private takeOver(leaves: number): void {
    this.dispatcher.close();
    this.term += 1;
    this.dispatcher = this.bench.createDispatcher({term: this.term});
    for (const [at, job] of this.jobs.entries()) {
      if (this.bench.answers.has(job.id)) continue;
      if (at % CALLERS_PER_LEAVE === leaves) this.left.add(job.id);
      if (this.left.has(job.id)) continue;
      const {id, tasks, runMs: estimatedMs} = job;
      const opts = {tasks, estimatedMs, patienceMs: PATIENCE_MS};
      const losses = [...(this.bench.losses.get(id) ?? [])];
      const submission = {...PoolBench.submission(id, opts), losses};
      this.refused.delete(id);
      this.dispatcher.submit('e', submission);
    }
  }

  private idOf(worker: number): string {
    return [...this.bench.workers.keys()][worker % WORKERS] ?? '';
  }

  private addWorker(
    id: string,
    capacity: number,
    bornAt = 1,
    address?: string,
  ): void {
    const worker = this.bench.addWorker(id, capacity, bornAt, address);
    worker.guardsCapacity = false;
    worker.runMs = task => this.jobOf(task)?.runMs ?? 100;
    worker.onStart = task => this.onStart(worker, task);
    this.capacities.set(id, [[this.bench.clock.now(), capacity]]);
  }

  private jobOf(task: string): Job | undefined {
    return this.jobs.find(({id}) => task.startsWith(`${id}.`));
  }

  private onStart(worker: FakePoolWorker, task: string): void {
    const {id} = worker.report;
    const crashesBefore = this.crashedUnder.get(task)?.size ?? 0;
    const job = this.jobOf(task)?.id ?? '';
    this.startedAt.set(job, this.bench.clock.now());
    if (this.refused.has(job)) {
      this.violations.push(`${task}: started after its job was refused`);
    }
    this.starts.push({task, worker: id, crashesBefore});
    const room = this.countedCapacity(id);
    if (worker.running.size > room) {
      const {size} = worker.running;
      this.violations.push(`${task}: ${size} runs on ${id} with room ${room}`);
    }
    if (!this.jobOf(task)?.isDeadly || !task.endsWith('.0.0.0')) return;
    this.bench.clock.schedule(1, () => this.crash(id, false));
  }

  /** Largest capacity of a worker within the time that its reports may take. */
  private countedCapacity(id: string): number {
    const since = this.bench.clock.now() - SHRINK_GRACE_MS;
    const all = this.capacities.get(id) ?? [];
    const isCounted = (n: number) => {
      const end = all[n + 1]?.[0] ?? Number.POSITIVE_INFINITY;
      return end >= since;
    };
    return Math.max(0, ...all.filter((_, n) => isCounted(n)).map(([, c]) => c));
  }

  private resize(id: string, capacity: number): void {
    if (!this.bench.workers.has(id)) return;
    this.bench.resize(id, capacity);
    this.capacities.get(id)?.push([this.bench.clock.now(), capacity]);
  }

  /** Crashes a worker; its successor has its address and another id. */
  private crash(id: string, isDark: boolean): void {
    const {bench} = this;
    const worker = bench.workers.get(id);
    if (!worker) return;
    worker.processDueEnds();
    for (const task of worker.running.keys()) {
      const crashed = this.crashedUnder.get(task) ?? new Set();
      this.crashedUnder.set(task, crashed.add(id));
    }
    bench.workers.delete(id);
    bench.client.crashed.add(id);
    if (isDark) this.dark.add(id);
    const {address} = worker.report;
    bench.clock.schedule(bench.restartMs, () => {
      this.successors += 1;
      const now = bench.clock.now();
      this.addWorker(`s${this.successors}`, TASKS_EACH, now, address);
    });
  }

  private advance(ms: number): Promise<void> {
    return this.bench.run(ms, this.dispatcher);
  }

  private checkAnswers(): void {
    for (const {id, isDeadly} of this.jobs) {
      const kind = this.bench.answers.get(id)?.kind;
      if (kind === undefined && !this.left.has(id)) {
        this.violations.push(`${id}: no answer`);
      }
      if (isDeadly && kind === 'completed') {
        this.violations.push(`${id}: completed, though a task cannot end`);
      }
      if (kind !== 'failed') continue;
      const crashes = [...this.crashedUnder]
        .filter(([task]) => task.startsWith(`${id}.`))
        .map(([, workers]) => workers.size);
      if (Math.max(0, ...crashes) < 2) {
        this.violations.push(`${id}: failed without two crashes under a task`);
      }
    }
  }

  private checkBudget(): void {
    const further = new Map<string, number>();
    for (const {task, crashesBefore} of this.starts) {
      if (crashesBefore < COUNTED_CRASHES) continue;
      further.set(task, (further.get(task) ?? 0) + 1);
    }
    for (const [task, count] of further) {
      if (count <= MAX_FURTHER_STARTS) continue;
      this.violations.push(
        `${task}: started ${count} times after ${COUNTED_CRASHES} crashes`,
      );
    }
  }
}
