import {DeploymentBench} from '../../../test-support/fakes/pool/deployment_bench.js';
import type {ZoneStep} from './zone_step.js';

/** Time in which all zones are granted. */
const BEGIN_MS = 5_500;
const SUBMIT_MS = 60;
/** Time after the last fault in which every zone must be served again. */
const SETTLE_MS = 12_000;
const PATIENCE_MS = 1_500;
/** Time after which a caller sends a job again that was given up. */
const RETRY_MS = 1_300;
const RUN_TIMES_MS = [60, 900, 200];
const ZONES = ['x', 'y', 'z'];

/**
 * One generated history of a deployment with a dispatcher per zone, on a fake
 * clock. Collects the violations of what callers and workers are promised.
 */
export class ZoneRun {
  readonly violations: string[] = [];
  private readonly bench = new DeploymentBench();
  private readonly healsAt: Array<{at: number; heal: () => void}> = [];
  /** Times of the starts of each job. */
  private readonly starts = new Map<string, number[]>();
  private readonly retried = new Set<string>();
  private nextSubmit = 0;
  private jobs = 0;

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
      worker.runMs = task => runMsOf(task);
      worker.onStart = task => this.recordStart(task);
    }
    await bench.run(BEGIN_MS);
    for (const step of steps) {
      await this.advance(step.waitMs);
      this.execute(step);
    }
    while (this.healsAt.length > 0) await this.advance(20);
    await this.advance(SETTLE_MS);
    for (const id of bench.entries.keys()) {
      bench.submit(id, `${id}-last`, {patienceMs: PATIENCE_MS});
    }
    await bench.run(2 * PATIENCE_MS + RETRY_MS);
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
      default:
        this.stop(step.kind, this.coreOf(step.core), step.forMs);
    }
  }

  /** Submits jobs that need more places than a zone has. */
  private burst(zone: string, jobs: number): void {
    const entries = [...this.bench.entries.keys()].filter(e => e[0] === zone);
    for (let n = 0; n < jobs; n += 1) {
      this.submit(entries[n % entries.length]!);
    }
  }

  private stop(
    kind: 'kill' | 'suspend' | 'drain',
    id: string,
    forMs: number,
  ): void {
    const {bench} = this;
    const isUp = bench.cores.get(id)?.clock.isSuspended === false;
    if (!isUp || bench.isClosed(id)) return;
    if (kind === 'suspend') {
      bench.suspend(id);
      this.after(forMs, () => bench.resume(id));
      return;
    }
    if (kind === 'drain') {
      bench.announceDrain(id);
      bench.close(id);
      this.after(700, () => bench.kill(id));
    } else bench.kill(id);
    this.after(700 + forMs, () => bench.startCore(id));
  }

  private cut(
    forMs: number,
    group: readonly string[],
    others: readonly string[],
  ): void {
    this.bench.isolate(group, others);
    this.after(forMs, () => this.bench.heal());
  }

  private after(ms: number, heal: () => void): void {
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
      await bench.run(Math.min(20, end - bench.now));
    }
  }

  private submitAll(): void {
    const {bench} = this;
    this.nextSubmit = bench.now + SUBMIT_MS;
    for (const id of bench.entries.keys()) this.submit(id);
    this.retry();
  }

  private submit(entry: string): void {
    this.jobs += 1;
    this.bench.submit(entry, `${entry}-${this.jobs}`, {
      tasks: 1 + (this.jobs % 4),
      estimatedMs: RUN_TIMES_MS[this.jobs % RUN_TIMES_MS.length],
      patienceMs: PATIENCE_MS,
    });
  }

  /** Sends jobs again that were given up, to another entry node. */
  private retry(): void {
    const {bench} = this;
    for (const [id, answers] of bench.log.answers) {
      const last = answers.at(-1);
      if (last?.kind !== 'given_up' || this.retried.has(id)) continue;
      if (bench.now - last.at < RETRY_MS) continue;
      this.retried.add(id);
      const entries = [...bench.entries.keys()];
      const entry = entries[this.retried.size % entries.length]!;
      bench.submit(entry, id, {
        tasks: 1 + (numberOf(id) % 4),
        estimatedMs: RUN_TIMES_MS[numberOf(id) % RUN_TIMES_MS.length],
        patienceMs: PATIENCE_MS,
      });
    }
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

  private check(): void {
    const {log, entries} = this.bench;
    for (const task of log.overlaps()) {
      this.violations.push(`${task}: two runs at the same time`);
    }
    for (const id of log.jobsWith(undefined)) {
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

function runMsOf(task: string): number {
  return RUN_TIMES_MS[numberOf(task.slice(0, task.indexOf('.'))) % 3]!;
}
