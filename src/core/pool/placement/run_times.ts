import {criticalPathMs} from '../job/critical_path_ms.js';
import type {ActiveJob} from '../job/active_job.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {Run} from '../lease/run.js';
import type {RunWorkload} from '../lease/run_workload.js';
import {QueueRatios} from './queue_ratios.js';
import {referenceMs} from './reference_ms.js';
import {WorkerSpeed} from './worker_speed.js';

/** Ratio to the usual run time from which a run may tell a slow worker. */
const TELLING_RATIO = 1.5;

/** Run of a task on a worker that has ended at `at`. */
interface RecordedRun {
  readonly worker: string;
  readonly task: string;
  readonly workload: RunWorkload;
  readonly ranMs: number;
  readonly at: number;
}

/**
 * Expected run times: per queue, the ratio of run time to the caller's
 * estimate, with tasks without an estimate apart; per worker, its slowness
 * relative to its queues.
 */
export class RunTimes {
  private readonly groups = new Map<string, QueueRatios>();
  private readonly speeds = new Map<string, WorkerSpeed>();

  /** Records a completed run. */
  record({worker, task, workload, ranMs, at}: RecordedRun): void {
    const speed = this.speedOf(worker);
    const run = this.timedRun(task, workload, ranMs, at);
    this.ratiosFor(workload).record(ranMs / referenceMs(workload));
    const known = speed.record({...run, isOverdue: false});
    if (!known) return;
    const ratios = this.ratiosOf(known.run.group);
    ratios.recordTask(known.run.multiple / known.slowness);
  }

  /** Records a run that was stopped; it would have taken longer. */
  recordStopped({worker, task, workload, ranMs, at}: RecordedRun): void {
    const run = this.timedRun(task, workload, ranMs, at);
    this.speedOf(worker).recordStopped({...run, isOverdue: false});
  }

  /** Takes account of the runs in progress that are overdue. */
  observe(workers: readonly LeasedWorker[], now: number): void {
    for (const {report, runs} of workers) {
      const known = this.speeds.get(report.id);
      if (runs.size === 0 && !known) continue;
      const speed = known ?? this.speedOf(report.id);
      const overdue = [];
      for (const {task, sentAt, workload, isAdopted} of runs.values()) {
        if (!workload || isAdopted) continue;
        const unitMs = referenceMs(workload) * this.ratiosFor(workload).typical;
        if (now - sentAt <= speed.overdueRatio * unitMs) continue;
        const run = this.timedRun(task, workload, now - sentAt, now);
        overdue.push({...run, isOverdue: true});
      }
      speed.observe(overdue, now);
    }
  }

  /**
   * Expected run time of a task at normal speed beside its data, in ms; 0 without
   * an estimate, so that no job is refused for it.
   */
  expectedMs(queue: string, estimatedMs: number): number {
    return estimatedMs * this.ratiosOf(queue).mean;
  }

  /**
   * Time up to which the answer of a job is useful. The objective follows the
   * tasks' true run times: where they are far longer than estimated, a job that
   * has not waited is still of use. If it were refused, no run would show that
   * later tasks are shorter.
   */
  usefulUntil({arrivedAt, criticalPathMs, queue, usefulUntil}: ActiveJob) {
    const pathMs = this.expectedMs(queue.name, criticalPathMs);
    const objectiveMs = Math.max(1, queue.stretch) * pathMs + queue.targetMs;
    return Math.max(usefulUntil, arrivedAt + objectiveMs);
  }

  /** When a run in progress is expected to end. */
  expectedEnd(
    {sentAt, workload}: Run,
    worker: string,
    now: number,
    slowness = this.slownessOf(worker, now),
  ): number {
    if (!workload) return now;
    const unitMs = referenceMs(workload) * slowness;
    const ratios = this.ratiosFor(workload);
    const total = ratios.expectedAfter((now - sentAt) / unitMs);
    return Math.max(now, sentAt + total * unitMs);
  }

  /** Expected run time of what is not done, with unlimited capacity, in ms. */
  remainingMs({tasks, spec, queue}: ActiveJob): number {
    if (spec.steps.length === 1) {
      return this.expectedMs(queue.name, spec.steps[0]!.estimatedMs);
    }
    const isOpen = spec.steps.map(() => false);
    for (const {state, step} of tasks) isOpen[step] ||= state !== 'done';
    const steps = spec.steps.map(({estimatedMs, after}, at) => ({
      estimatedMs: isOpen[at] ? this.expectedMs(queue.name, estimatedMs) : 0,
      after,
    }));
    return criticalPathMs(steps);
  }

  /** Expected sum of the run times of the tasks that are not done, in ms. */
  remainingWorkMs(job: ActiveJob): number {
    let workMs = 0;
    for (const {state, step} of job.tasks) {
      if (state === 'done') continue;
      const {estimatedMs} = job.spec.steps[step]!;
      workMs += this.expectedMs(job.queue.name, estimatedMs);
    }
    return workMs;
  }

  private timedRun(
    task: string,
    workload: RunWorkload,
    ranMs: number,
    at: number,
  ) {
    const ratios = this.ratiosFor(workload);
    const multiple = ranMs / referenceMs(workload);
    const ratio = multiple / ratios.typical;
    const isTelling = ratio > TELLING_RATIO && ratios.isBeyond(multiple);
    const group = groupOf(workload);
    return {task, group, multiple, ratio, isTelling, at};
  }

  ratiosFor(workload: RunWorkload): QueueRatios {
    return this.ratiosOf(groupOf(workload));
  }

  /** Ratios of a group; that of the tasks with estimates is named as its queue. */
  ratiosOf(group: string): QueueRatios {
    let ratios = this.groups.get(group);
    if (!ratios) {
      ratios = new QueueRatios();
      this.groups.set(group, ratios);
    }
    return ratios;
  }

  speedOf(worker: string): WorkerSpeed {
    let speed = this.speeds.get(worker);
    if (!speed) {
      speed = new WorkerSpeed();
      this.speeds.set(worker, speed);
    }
    return speed;
  }

  /** Run times of a worker relative to those of its queues; 1 is normal. */
  slownessOf(worker: string, now: number): number {
    return this.speeds.get(worker)?.slowness(now) ?? 1;
  }

  /** Slowness for a start on a worker with this number of runs. */
  slownessForStart(worker: string, runs: number, now: number): number {
    const speed = this.speeds.get(worker);
    if (!speed) return 1;
    return runs === 0 ? speed.slownessWhenIdle(now) : speed.slowness(now);
  }

  removeWorker(worker: string): void {
    this.speeds.delete(worker);
  }
}

/**
 * Group of tasks whose ratios are comparable: those of a queue with an estimate,
 * or those without one, whose ratios tell their run times.
 */
function groupOf({queue, estimatedMs}: RunWorkload): string {
  return estimatedMs > 0 ? queue : `\0${queue}`;
}
