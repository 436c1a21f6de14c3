import {criticalPathMs} from '../job/critical_path_ms.js';
import type {ActiveJob} from '../job/active_job.js';
import {QuantileSketch} from '../../dispatch/target/quantile_sketch.js';

/** Assumed ratio of run time to estimate while there are no samples. */
const ASSUMED_RATIO = 1;
/** Scale of the ratios in the sketch, whose smallest value is 0.5. */
const SCALE = 100;
/** Samples that a queue needs for its 98th percentile to be used. */
const MIN_SAMPLES = 30;
/** Weight of the latest run time in a worker's moving average. */
const WORKER_WEIGHT = 0.15;

/**
 * Statistics of completed runs: per queue, the ratio of run time to the
 * caller's estimate; per worker, its slowness relative to its queues.
 */
export class RunTimes {
  private readonly ratios = new Map<string, QuantileSketch>();
  private readonly slowness = new Map<string, number>();

  record(
    queue: string,
    worker: string,
    estimatedMs: number,
    actualMs: number,
  ): void {
    const sketch = this.sketch(queue);
    const ratio = actualMs / Math.max(1, estimatedMs);
    const expected = sketch.mean / SCALE;
    sketch.record(ratio * SCALE);
    const before = this.slownessOf(worker);
    const relative = Math.min(20, ratio / Math.max(0.01, expected));
    const next = before + WORKER_WEIGHT * (relative - before);
    this.slowness.set(worker, next);
  }

  /** Expected run time of a task with this estimate, in ms. */
  expectedMs(queue: string, estimatedMs: number): number {
    return (estimatedMs * this.sketch(queue).mean) / SCALE;
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

  /**
   * 98th percentile of the ratio of run time to estimate; infinite until the
   * queue has enough samples.
   */
  p98Ratio(queue: string): number {
    if (this.sketch(queue).count < MIN_SAMPLES) return Number.POSITIVE_INFINITY;
    return this.sketch(queue).quantile(0.98) / SCALE;
  }

  /** Run times of a worker relative to those of its queues; 1 is average. */
  slownessOf(worker: string): number {
    return this.slowness.get(worker) ?? 1;
  }

  removeWorker(worker: string): void {
    this.slowness.delete(worker);
  }

  private sketch(queue: string): QuantileSketch {
    let sketch = this.ratios.get(queue);
    if (!sketch) {
      sketch = new QuantileSketch(ASSUMED_RATIO * SCALE);
      this.ratios.set(queue, sketch);
    }
    return sketch;
  }
}
