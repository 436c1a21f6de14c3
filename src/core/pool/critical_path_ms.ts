import type {PoolJob} from './pool_job.js';

/** Run time of a job with unlimited capacity, from the caller's estimates. */
export function criticalPathMs(steps: PoolJob['steps']): number {
  const ends: number[] = [];
  for (const step of steps) {
    const start = Math.max(0, ...step.after.map(at => ends[at] ?? 0));
    ends.push(start + step.estimatedMs);
  }
  return Math.max(...ends);
}
