import {EmulatedJob} from '../../platform/emulator/emulated_job.js';
import type {EmulatedRun} from '../../platform/emulator/emulated_run.js';
import type {SoakJob} from './soak_job.js';

type Attempt = SoakJob['attempts'][number];

/** Replies that say that a job was not accepted and never runs. */
const REFUSED: readonly unknown[] = [429, 503];

/** Checks the rules on runs and answers while they happen. */
export class SoakHistory {
  readonly jobs = new Map<string, SoakJob>();
  readonly violations: string[] = [];
  starts = 0;

  /** `startedAt` is the origin of the times in reports. */
  constructor(private readonly startedAt: number) {}

  add(job: EmulatedJob): SoakJob {
    const record = {job, attempts: [], runs: []};
    this.jobs.set(job.id, record);
    return record;
  }

  onStart(run: EmulatedRun): void {
    this.starts += 1;
    const record = this.jobs.get(EmulatedJob.idOf(run.task));
    if (!record) {
      this.violations.push(`UNASKED: ${run.task}, which no caller sent`);
      return;
    }
    const {worker, token} = run;
    const earlier = record.runs.filter(({task}) => task === run.task);
    record.runs.push(run);
    for (const each of earlier) each.worker.endDueRuns();
    if (earlier.some(({endedAt}) => endedAt === undefined)) {
      this.report('TWICE', 'two runs at the same time', record, run.task);
    }
    const {zone} = worker.opts;
    const isOvertaken = earlier.some(
      each => each.worker.opts.zone === zone && each.token > token,
    );
    if (isOvertaken) {
      this.report('TOKEN', 'a start under a lower token', record, run.task);
    }
    if (!worker.opts.guardsCapacity && worker.isOverloaded) {
      const runs = this.findRuns(worker).join(', ');
      const detail = `${worker.opts.id} is over its capacity with ${runs}`;
      this.report('LIMIT', detail, record, run.task);
    }
    this.checkRefused(record);
  }

  onReply(record: SoakJob, attempt: Attempt, state: unknown): void {
    const {outcome} = attempt;
    this.checkRefused(record);
    if (outcome === 200 && state === 'completed') this.checkCompleted(record);
    const isKnown =
      typeof outcome !== 'number' ||
      [200, 408, 429, 502, 503, 504].includes(outcome);
    if (!isKnown) this.report('CONFIG', `status ${outcome}`, record);
  }

  /** Adds a violation with all that is known about a job or one of its tasks. */
  report(rule: string, detail: string, record: SoakJob, task?: string): void {
    const lines = [`${rule}: ${task ?? record.job.id}: ${detail}`];
    for (const {entry, sentAt, outcome = 'open', endedAt} of record.attempts) {
      const times = this.formatTimes(sentAt, endedAt);
      lines.push(`  request to ${entry} ${times}: ${outcome}`);
    }
    for (const each of record.runs) {
      if (task !== undefined && each.task !== task) continue;
      const {run, token, worker, how = 'runs', isLate} = each;
      const times = this.formatTimes(each.startedAt, each.endedAt);
      const late = isLate ? ', order executed late' : '';
      const place = `${worker.opts.id} (${worker.opts.zone})`;
      lines.push(
        `  ${each.task} run ${run} token ${token} on ${place} ${times}: ${how}${late}`,
      );
    }
    this.violations.push(lines.join('\n'));
  }

  /** Tasks that run on a worker, with the tokens of their dispatchers. */
  private findRuns(worker: EmulatedRun['worker']): string[] {
    return [...this.jobs.values()]
      .flatMap(({runs}) => runs)
      .filter(run => run.worker === worker && run.endedAt === undefined)
      .map(({task, token}) => `${task} (token ${token})`);
  }

  private checkRefused(record: SoakJob): void {
    const {attempts, runs} = record;
    if (runs.length === 0 || attempts.length === 0) return;
    if (attempts.some(({outcome}) => !REFUSED.includes(outcome))) return;
    this.report('REFUSED', 'it was refused, but runs', record);
  }

  private checkCompleted(record: SoakJob): void {
    for (const {worker} of record.runs) worker.endDueRuns();
    const done = new Set(
      record.runs.filter(({how}) => how === 'done').map(({task}) => task),
    );
    const open = record.job.tasks.find(task => !done.has(task));
    if (open) this.report('MIXED', 'completed before its task', record, open);
  }

  private formatTimes(from: number, to: number | undefined): string {
    const format = (at: number) =>
      `${((at - this.startedAt) / 1_000).toFixed(3)} s`;
    return `${format(from)} to ${to === undefined ? 'now' : format(to)}`;
  }
}
