import type {PoolEntry} from './pool_entry.js';
import {QuantileSketch} from '../dispatch/target/quantile_sketch.js';

/** Assumed ratio of run time to estimate until ends are seen. */
const ASSUMED_RATIO = 1;
/** Scale of the ratios in the sketch, whose smallest value is 0.5. */
const SCALE = 100;
/** Ends of a queue before its long run times count as known. */
const MIN_ENDS = 30;
/** Weight of a new run time in a worker's average. */
const WORKER_WEIGHT = 0.15;

/**
 * Run times learnt from ends: by queue, against the callers' estimates, and by
 * worker, against its queue.
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

  /** Expected run time of a task with this estimate. */
  expectedMs(queue: string, estimatedMs: number): number {
    return (estimatedMs * this.sketch(queue).mean) / SCALE;
  }

  /** Expected run time of the rest of a job with unlimited room. */
  restMs(entry: PoolEntry): number {
    let restMs = 0;
    for (const {state, step} of entry.tasks) {
      if (state === 'done') continue;
      const {estimatedMs} = entry.job.steps[step]!;
      restMs = Math.max(restMs, this.expectedMs(entry.queue.name, estimatedMs));
    }
    return restMs;
  }

  /** Expected sum of the run times of what is left of a job. */
  workMs(entry: PoolEntry): number {
    let workMs = 0;
    for (const {state, step} of entry.tasks) {
      if (state === 'done') continue;
      const {estimatedMs} = entry.job.steps[step]!;
      workMs += this.expectedMs(entry.queue.name, estimatedMs);
    }
    return workMs;
  }

  /**
   * Ratio of run time to estimate that only few tasks exceed; infinite until
   * enough ends were seen.
   */
  longRatio(queue: string): number {
    if (this.sketch(queue).count < MIN_ENDS) return Number.POSITIVE_INFINITY;
    return this.sketch(queue).quantile(0.98) / SCALE;
  }

  /** Factor by which a worker's runs exceed those of its queues; 1 is usual. */
  slownessOf(worker: string): number {
    return this.slowness.get(worker) ?? 1;
  }

  forget(worker: string): void {
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
