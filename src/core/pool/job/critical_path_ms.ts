import type {PoolJob} from './pool_job.js';

type Step = Pick<PoolJob['steps'][number], 'estimatedMs' | 'after'>;

/** Run time of steps with unlimited capacity, from estimates of their tasks. */
export function criticalPathMs(steps: readonly Step[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const start = Math.max(0, ...step.after.map(at => ends[at] ?? 0));
    ends.push(start + step.estimatedMs);
  }
  return Math.max(...ends);
}
