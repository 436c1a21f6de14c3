import {DeploymentBench} from '../../../test-support/fakes/pool/deployment_bench.js';
import {CoreFaults} from './core_faults.js';
import {JobCallers} from './job_callers.js';
import {MessageFaults} from './message_faults.js';
import {traceTask} from './trace_task.js';
import type {ZoneStep} from './zone_step.js';

/** Time in which all zones are granted, and in which there is a leader. */
const BEGIN_MS = {zones: 5_500, leader: 2_000};
const SUBMIT_MS = {zones: 60, leader: 150};
/** Time after the last fault in which every zone must be served again. */
const SETTLE_MS = {zones: 12_000, leader: 7_000};
/** Time that workers take to stop a run. */
const STOP_MS = 50;
/** Long runs go on when their caller sends the job again, 1.3 s after its request. */
const RUN_TIMES_MS = {
  zones: [60, 900, 200, 60, 2_600, 200, 900],
  leader: [60, 900, 200, 60, 2_600, 200, 60],
};
/** One job in this many takes longer than its caller says. */
const UNDERSTATED_EVERY = 2;
const UNDERSTATED_MS = 200;
/** Time that callers wait beyond the run time that they expect. */
const WAIT_MS = 1_400;
/** Time in which the last runs end once all jobs are answered. */
const LAST_RUNS_MS = 3_000;
const ZONES = ['x', 'y', 'z'];
/** Deployments with a dispatcher per zone, and with one for all zones. */
const DEPLOYMENTS = {
  zones: {coresPerZone: 2, entriesPerZone: 2, workersPerZone: 50},
  leader: {coresPerZone: 1, entriesPerZone: 3, workersPerZone: 22},
};

/**
 * One generated history of a deployment with a dispatcher per zone, or with one for
 * all zones and fallbacks, on a fake clock. Collects the violations of what callers
 * and workers are promised.
 */
export class ZoneRun {
  readonly violations: string[] = [];
  /** What happened to each task of which two runs overlapped. */
  readonly traces: string[][] = [];
  private readonly bench: DeploymentBench;
  /** Callers that send their job again, by its id. */
  private readonly callers: JobCallers;
  private readonly healsAt: Array<{at: number; heal: () => unknown}> = [];
  /** Times of the starts of each job. */
  private readonly starts = new Map<string, number[]>();
  private nextSubmit = 0;
  private jobs = 0;
  private readonly faults: MessageFaults;
  private readonly coreFaults: CoreFaults;

  constructor(private readonly mode: keyof typeof DEPLOYMENTS = 'zones') {
    this.bench = new DeploymentBench(DEPLOYMENTS[mode]);
    this.callers = new JobCallers(this.bench);
    this.faults = new MessageFaults(this.bench, ZONES);
    this.coreFaults = new CoreFaults(this.bench, (ms, heal) =>
      this.after(ms, heal),
    );
  }

  get submitted(): number {
    return this.bench.log.submittedAt.size;
  }

  /** Number of jobs that were moved to other zones. */
  get moved(): number {
    return this.bench.log.count('job_redirected');
  }

  async run(steps: readonly ZoneStep[]): Promise<void> {
    const {bench} = this;
    for (const worker of bench.workers.values()) {
      worker.runMs = task =>
        this.runMsOf(numberOf(task.slice(0, task.indexOf('.'))));
      worker.onStart = task => this.recordStart(task);
      worker.stopMs = STOP_MS;
    }
    await bench.run(BEGIN_MS[this.mode]);
    for (const step of steps) {
      await this.advance(step.waitMs);
      this.execute(step);
    }
    while (this.healsAt.length > 0) await this.advance(20);
    await this.advance(SETTLE_MS[this.mode]);
    for (const id of bench.entries.keys()) {
      this.callers.submit(id, `${id}-last`, {patienceMs: WAIT_MS});
    }
    const end = bench.now + JobCallers.MAX_WAIT_MS;
    while (bench.now < end && this.callers.hasOpenCalls) {
      await bench.run(20);
      this.callers.tick();
    }
    await bench.run(LAST_RUNS_MS);
    this.check();
  }

  private execute(step: ZoneStep): void {
    const {bench} = this;
    switch (step.kind) {
      case 'burst':
        return this.burst(ZONES[step.zone]!, step.jobs);
      case 'cut_zone': {
        const zone = ZONES[step.zone]!;
        return this.cut(step.forMs, bench.inZone(zone), bench.outsideOf(zone));
      }
      case 'cut_cores': {
        const [a, b] = [this.coreOf(step.core), this.coreOf(step.other)];
        return this.cut(step.forMs, [a], [b]);
      }
      case 'cut_workers': {
        const id = this.coreOf(step.core);
        const cores = bench.seeds.filter(other => other !== id);
        const workers = [...bench.workers.keys()].filter(
          (_, n) => n % 2 === step.parity,
        );
        return this.cut(step.forMs, [id], [...cores, ...workers]);
      }
      case 'cut_entries': {
        const id = this.coreOf(step.core);
        return this.cut(step.forMs, [id], [...bench.entries.keys()]);
      }
      case 'kill_entry':
      case 'suspend_entry':
      case 'cut_entry':
        return this.stopEntry(step.kind, this.entryOf(step.entry), step.forMs);
      case 'disconnect': {
        const all = [...bench.entries.keys()];
        const ids = step.isAll ? all : [this.entryOf(step.entry)];
        return ids.forEach(id => this.callers.disconnect(id));
      }
      case 'cut_one_way': {
        const zone = ZONES[step.zone]!;
        const [inner, outer] = [bench.inZone(zone), bench.outsideOf(zone)];
        const [from, to] = step.isOutward ? [inner, outer] : [outer, inner];
        for (const a of from) {
          for (const b of to) bench.cutFrom(a, b);
        }
        return this.after(step.forMs, () => bench.heal());
      }
      case 'starve':
        return this.disturb(step, {
          begin: id => bench.starve(id, step.lagMs),
          end: id => bench.starve(id, 0),
        });
      case 'suspend_machine':
        return this.disturb(step, {
          begin: id => bench.suspend(id, false),
          end: id => bench.resume(id),
        });
      case 'slow_link': {
        const id = this.coreOf(step.core);
        bench.linkDelayMs.set(id, step.delayMs);
        return this.after(step.forMs, () => bench.linkDelayMs.delete(id));
      }
      case 'faulty_orders':
      case 'lose_messages':
      case 'lose_orders':
        return this.after(step.forMs, this.faults.begin(step));
      case 'backlog': {
        const {isCore, node, delayMs, forMs} = step;
        const id = isCore ? this.coreOf(node) : this.entryOf(node);
        if (!isCore) this.callers.disturb(id);
        bench.backlogMs.set(id, delayMs);
        return this.after(forMs, () => bench.backlogMs.delete(id));
      }
      case 'lose_cores':
        return this.coreFaults.loseAll(
          step.forMs,
          step.zone === null ? undefined : ZONES[step.zone],
        );
      case 'crash_workers':
        [...bench.workers.values()].forEach((worker, n) => {
          if (n % step.every === 0) worker.restart();
        });
        return;
      default:
        this.coreFaults.stop(step.kind, this.coreOf(step.core), step.forMs);
    }
  }

  /** Submits jobs that need more places than a zone has. */
  private burst(zone: string, jobs: number): void {
    const entries = [...this.bench.entries.keys()].filter(e => e[0] === zone);
    for (let n = 0; n < jobs; n += 1) {
      this.submit(entries[n % entries.length]!);
    }
  }

  private stopEntry(
    kind: 'kill_entry' | 'suspend_entry' | 'cut_entry',
    id: string,
    forMs: number,
  ): void {
    const {bench, callers} = this;
    if (kind === 'cut_entry') {
      const ids = [...bench.inZone(id[0]!), ...bench.outsideOf(id[0]!)];
      return this.cut(
        forMs,
        [id],
        ids.filter(other => other !== id),
      );
    }
    if (bench.entries.get(id)?.clock.isSuspended !== false) return;
    callers.disturb(id);
    if (kind === 'suspend_entry') {
      bench.suspend(id);
      this.after(forMs, () => bench.entries.has(id) && bench.resume(id));
      return;
    }
    // A process that is killed sends no drops.
    bench.kill(id);
    callers.disconnect(id);
    this.after(700 + forMs, () => bench.startEntry(id));
  }

  /** Lets a node run late or not at all for some time. */
  private disturb(
    {isCore, node, forMs}: Extract<ZoneStep, {isCore: boolean}>,
    {begin, end}: Record<'begin' | 'end', (id: string) => void>,
  ): void {
    const {bench} = this;
    const id = isCore ? this.coreOf(node) : this.entryOf(node);
    const nodes = isCore ? bench.cores : bench.entries;
    const known = nodes.get(id);
    if (known?.clock.isSuspended !== false || bench.isClosed(id)) return;
    if (!isCore) this.callers.disturb(id);
    begin(id);
    // Another process may have started meanwhile.
    this.after(forMs, () => nodes.get(id) === known && end(id));
  }

  private cut(
    forMs: number,
    group: readonly string[],
    others: readonly string[],
  ): void {
    this.bench.isolate(group, others);
    this.after(forMs, () => this.bench.heal());
  }

  private after(ms: number, heal: () => unknown): void {
    this.healsAt.push({at: this.bench.now + ms, heal});
  }

  private async advance(ms: number): Promise<void> {
    const {bench} = this;
    for (const end = bench.now + ms; bench.now < end;) {
      const due = this.healsAt.filter(({at}) => at <= bench.now);
      for (const each of due) {
        this.healsAt.splice(this.healsAt.indexOf(each), 1);
        each.heal();
      }
      if (bench.now >= this.nextSubmit) this.submitAll();
      this.callers.tick();
      await bench.run(Math.min(20, end - bench.now));
    }
  }

  private submitAll(): void {
    const {bench} = this;
    this.nextSubmit = bench.now + SUBMIT_MS[this.mode];
    for (const id of bench.entries.keys()) this.submit(id);
  }

  private submit(entry: string): void {
    this.jobs += 1;
    const runMs = this.runMsOf(this.jobs);
    const isUnderstated = this.jobs % UNDERSTATED_EVERY === 0;
    const estimatedMs = isUnderstated ? Math.min(runMs, UNDERSTATED_MS) : runMs;
    this.callers.submit(entry, `${entry}-${this.jobs}`, {
      tasks: 1 + (this.jobs % 4),
      estimatedMs,
      patienceMs: estimatedMs + WAIT_MS,
    });
  }

  private recordStart(task: string): void {
    const id = task.slice(0, task.indexOf('.'));
    const starts = this.starts.get(id) ?? [];
    starts.push(this.bench.now);
    this.starts.set(id, starts);
  }

  private coreOf(n: number): string {
    const {seeds} = this.bench;
    return seeds[n % seeds.length]!;
  }

  private runMsOf(job: number): number {
    const times = RUN_TIMES_MS[this.mode];
    return times[job % times.length]!;
  }

  private entryOf(n: number): string {
    const zone = ZONES[n % ZONES.length]!;
    const {entriesPerZone} = DEPLOYMENTS[this.mode];
    return `${zone}e${1 + (Math.floor(n / ZONES.length) % entriesPerZone)}`;
  }

  private check(): void {
    const {log, entries} = this.bench;
    for (const task of log.overlaps()) {
      this.violations.push(`${task}: two runs at the same time`);
      this.traces.push([task, ...traceTask(this.bench, task)]);
    }
    for (const id of this.callers.unanswered) {
      this.violations.push(`${id}: no answer`);
    }
    for (const id of log.jobsWith('refused')) {
      // What another dispatcher did before a partition may not be known.
      const since = log.submittedAt.get(id)!;
      if (!this.starts.get(id)?.some(at => at >= since)) continue;
      this.violations.push(`${id}: refused as not run, but started`);
    }
    for (const id of entries.keys()) {
      if (log.answerOf(`${id}-last`) === 'completed') continue;
      this.violations.push(`${id}: not served after all faults`);
    }
  }
}

function numberOf(id: string): number {
  return Number(id.slice(id.indexOf('-') + 1)) || 0;
}
